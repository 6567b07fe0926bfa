#include "front/owner.hpp"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <optional>
#include <stdexcept>

#include "log/log.hpp"
#include "loop/datagram_reader.hpp"
#include "owner/membership.hpp"
#include "store/lmdb.hpp"

namespace dunlinwick::front {

struct Owner::Inner {
  OwnerTerms terms;
  Carrier* peers = nullptr;
  loop::Descriptor socket;  // over peers: none
  std::unique_ptr<owner::Node> node;
  std::unique_ptr<owner::Membership> membership;  // none outside the group
  std::uint64_t timer = 0;
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  std::uint64_t strange = 0;
  Ms tick_at = 0;
  std::optional<loop::DatagramReader> reader;  // of the socket
};

Owner::Owner(loop::Loop& loop, const OwnerTerms& terms, std::uint64_t seed, Carrier* peers)
    : loop_(loop), inner_(std::make_unique<Inner>()) {
  Inner& in = *inner_;
  in.terms = terms;
  in.peers = peers;
  if (!peers) {
    int fd = loop.environment().OpenDatagrams(terms.listen);
    if (fd < 0)
      throw std::runtime_error("owner.listen cannot be had: " + std::string(std::strerror(-fd)));
    in.socket = loop::Descriptor(loop.environment(), fd);
  }
  owner::NodeTerms t;
  t.self = terms.self;
  t.group = terms.group;
  t.lease = terms.lease;
  t.raft = terms.raft;
  for (const OwnerTerms::Work& w : terms.works)
    t.jobs.push_back({w.name, w.steps, w.each, w.places, w.standing});
  bool member = std::find(terms.group.begin(), terms.group.end(), terms.self) != terms.group.end();
  owner::Node::Ways ways;
  ways.send = [this](owner::Id to, std::string bytes) {
    auto at = inner_->terms.at.find(to);
    if (inner_->peers) {
      ++inner_->sent;
      if (at == inner_->terms.at.end())
        inner_->peers->Send(peers::Channel::kOwner, to, std::move(bytes));
      else
        inner_->peers->SendRaw(at->second, bytes);  // a place
      return;
    }
    if (at == inner_->terms.at.end())
      return;
    ++inner_->sent;
    loop_.environment().SendTo(inner_->socket.Get(), bytes,
                               at->second);  // lost where the system can't take it: as on a wire
  };
  ways.say = [this](const std::string& line) {
    log::Write("%s at %.0f", line.c_str(), loop_.now());
  };
  auto now = loop.now();
  in.node = std::make_unique<owner::Node>(std::move(t), nullptr, static_cast<std::uint64_t>(now),
                                          seed, now, std::move(ways));
  log::Write("owner: front %u, %s, %zu works%s", terms.self,
             member ? "in the group" : "not in the group", terms.works.size(),
             member && terms.store.empty()
                 ? "; in memory: a member that restarts is lost to the group"
                 : "");
  if (member) {
    auto open_store = [folder = terms.store]() -> std::unique_ptr<owner::Store> {
      if (folder.empty())
        return std::make_unique<owner::MemoryStore>();
      return std::make_unique<store::LmdbStore>(folder);
    };
    auto say = [this](const std::string& line) {
      log::Write("%s at %.0f", line.c_str(), loop_.now());
    };
    in.membership = std::make_unique<owner::Membership>(*in.node, open_store, say);
    in.membership->Tick(now);
  }
  if (!peers) {
    constexpr std::size_t kLongestDatagram = 65536;
    auto take = [this](std::span<const char> datagram, const loop::Address& from) {
      Took(datagram, from);
    };
    in.reader.emplace(loop, in.socket.Get(), kLongestDatagram, std::move(take));
  }
  Wake();
}

Owner::~Owner() {
  loop_.Cancel(inner_->timer);
}

void Owner::Wake() {
  constexpr loop::Ms kEach = 20;
  inner_->node->Tick(loop_.now());
  if (inner_->membership)
    inner_->membership->Tick(loop_.now());
  inner_->tick_at = loop_.now() + kEach;
  if (!inner_->peers)
    inner_->timer = loop_.RunAt(inner_->tick_at, [this] { Wake(); });
}

Ms Owner::WakeAt() const {
  return inner_->tick_at;
}

void Owner::Heard(peers::Id from, std::span<const char> message) {
  auto f = owner::ReadFrame(message);
  if (!f || f->from != from)
    return void(++inner_->strange);
  ++inner_->received;
  inner_->node->Receive(loop_.now(), message);
}

void Owner::Raw(std::span<const char> datagram) {
  auto f = owner::ReadFrame(datagram);
  if (!f || f->kind != owner::Kind::kDid || !inner_->terms.at.count(f->from))
    return void(++inner_->strange);
  ++inner_->received;
  inner_->node->Receive(loop_.now(), datagram);
}

void Owner::Took(std::span<const char> datagram, const loop::Address& from) {
  constexpr std::string_view kViewRequest = "DO?";
  if (std::string_view(datagram.data(), datagram.size()) == kViewRequest) {
    std::string text = view();
    loop_.environment().SendTo(inner_->socket.Get(), text, from);
    return;
  }
  ++inner_->received;
  inner_->node->Receive(loop_.now(), datagram);
}

std::pair<std::uint64_t, bool> Owner::Holds(const std::string& work) const {
  for (const auto& h : inner_->node->agent().held())
    if (h.work == work)
      return {h.token, loop_.now() < h.until};
  return {0, false};
}
std::uint32_t Owner::OwnerOf(const std::string& work) const {
  if (Holds(work).second)
    return inner_->terms.self;
  owner::Group* g = inner_->node->group();
  if (!g)
    return 0;
  auto at = g->table().Works().find(work);
  return at == g->table().Works().end() ? 0 : at->second.owner;
}
void Owner::Permit(bool may) {
  inner_->node->agent().Permit(may);
}
Owner::Group Owner::group() const {
  Group now;
  // A front outside the group knows it by its answers: what it holds, or that it was answered
  // lately, is all it can tell.
  owner::Group* g = inner_->node->group();
  now.leader_known = inner_->node->agent().KnowsLeader();
  // A member whose store failed is as one outside: the others' majority goes on without it.
  bool takes_part = g && g->standing() != owner::Group::Standing::kFailed;
  if (!takes_part) {
    now.founded = now.leader_known;
    return now;
  }
  now.in_group = true;
  now.member = g->standing() == owner::Group::Standing::kMember;
  now.lost = g->standing() == owner::Group::Standing::kLost;
  now.leader_known |= g->Leads() || g->Leader() != 0;
  now.founded = now.member;
  now.token = g->table().LastToken();
  return now;
}

std::string Owner::view() const {
  const Inner& in = *inner_;
  owner::Node& node = *in.node;
  auto yes = [](bool b) {
    return std::string(b ? "true" : "false");
  };
  auto left = [&](owner::Ms until) {
    return until > 1e200 ? std::string("null") : std::to_string(std::lround(until - loop_.now()));
  };
  std::string s = "{\"self\":" + std::to_string(in.terms.self) +
                  ",\"sent\":" + std::to_string(in.sent) +
                  ",\"received\":" + std::to_string(in.received) +
                  ",\"refused\":" + std::to_string(node.Refused() + in.strange);
  if (owner::Group* g = node.group()) {
    s += ",\"group\":\"" + std::string(MakeWord(g->standing())) + "\",\"why\":\"" + g->Why() +
         "\",\"leads\":" + yes(g->Leads()) + ",\"leader\":" + std::to_string(g->Leader()) +
         ",\"term\":" + std::to_string(g->Term()) + ",\"lasting\":" + yes(in.membership->Lasts()) +
         ",\"last_token\":" + std::to_string(g->table().LastToken()) + ",\"works\":[";
    bool first = true;
    for (const auto& [name, w] : g->table().Works()) {
      s += std::string(first ? "" : ",") + "{\"work\":\"" + name +
           "\",\"owner\":" + std::to_string(w.owner) + ",\"token\":" + std::to_string(w.token) +
           ",\"done\":" + std::to_string(w.done) + ",\"steps\":" + std::to_string(w.steps) +
           ",\"state\":\"" +
           (w.finished     ? "finished"
            : w.abandoned  ? "abandoned"
            : w.owner != 0 ? "owned"
                           : "free") +
           "\",\"lease_ends_in_ms\":" + (g->Leads() ? left(g->LeaseEnds(name)) : "null") + "}";
      first = false;
    }
    s += "]";
  } else {
    s += ",\"group\":\"none\"";
    if (in.membership && !in.membership->HasStore())
      s += ",\"store\":\"not used\"";
  }
  s += ",\"holds\":[";
  bool first = true;
  for (const auto& h : node.agent().held()) {
    s += std::string(first ? "" : ",") + "{\"work\":\"" + h.work +
         "\",\"token\":" + std::to_string(h.token) + ",\"done\":" + std::to_string(h.done) +
         ",\"acts_for_ms\":" + left(h.until) + "}";
    first = false;
  }
  return s + "]}";
}

}  // namespace dunlinwick::front

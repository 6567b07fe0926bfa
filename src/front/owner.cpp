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

struct OwnerComponent::Impl {
  OwnerSettings settings;
  MessageSender* peers = nullptr;
  loop::Descriptor socket;  // over the peers' socket: none
  std::unique_ptr<owner::Node> node;
  std::unique_ptr<owner::Membership> membership;  // none outside the group
  std::uint64_t timer = 0;
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  std::uint64_t malformed = 0;
  Ms next_tick_at = 0;
  std::optional<loop::DatagramReader> reader;  // of the socket
};

OwnerComponent::OwnerComponent(loop::Loop& loop, const OwnerSettings& settings, std::uint64_t seed,
                               MessageSender* peers)
    : loop_(loop), impl_(std::make_unique<Impl>()) {
  Impl& impl = *impl_;
  impl.settings = settings;
  impl.peers = peers;
  if (!peers) {
    int fd = loop.environment().OpenDatagrams(settings.listen);
    if (fd < 0)
      throw std::runtime_error("cannot open the socket of owner.listen: " +
                               std::string(std::strerror(-fd)));
    impl.socket = loop::Descriptor(loop.environment(), fd);
  }
  owner::NodeSettings node_terms;
  node_terms.self = settings.self;
  node_terms.group = settings.group;
  node_terms.lease = settings.lease;
  node_terms.raft = settings.raft;
  for (const OwnerSettings::LeasedTask& task : settings.tasks)
    node_terms.tasks.push_back(
        {task.name, task.steps, task.step_time, task.executors, task.standing});
  bool member = std::find(settings.group.begin(), settings.group.end(), settings.self) !=
                settings.group.end();
  owner::Node::Callbacks callbacks;
  callbacks.send = [this](owner::Id to, std::string bytes) {
    auto address = impl_->settings.addresses.find(to);
    if (impl_->peers) {
      ++impl_->sent;
      if (address == impl_->settings.addresses.end())
        impl_->peers->Send(peers::Channel::kOwner, to, std::move(bytes));
      else
        impl_->peers->SendDatagram(address->second, bytes);  // an executor
      return;
    }
    if (address == impl_->settings.addresses.end())
      return;
    ++impl_->sent;
    loop_.environment().SendTo(
        impl_->socket.Get(), bytes,
        address->second);  // lost if the system refuses it, as on the network
  };
  callbacks.log_line = [this](const std::string& line) {
    log::Write("%s at %.0f", line.c_str(), loop_.now());
  };
  auto now = loop.now();
  impl.node =
      std::make_unique<owner::Node>(std::move(node_terms), nullptr, static_cast<std::uint64_t>(now),
                                    seed, now, std::move(callbacks));
  log::Write("owner: front %u, %s, %zu tasks%s", settings.self,
             member ? "in the group" : "not in the group", settings.tasks.size(),
             member && settings.store.empty()
                 ? "; in memory: a member that restarts is lost to the group"
                 : "");
  if (member) {
    auto open_store = [folder = settings.store]() -> std::unique_ptr<owner::Store> {
      if (folder.empty())
        return std::make_unique<owner::MemoryStore>();
      return std::make_unique<store::LmdbOwnerStore>(folder);
    };
    auto log_line = [this](const std::string& line) {
      log::Write("%s at %.0f", line.c_str(), loop_.now());
    };
    impl.membership = std::make_unique<owner::Membership>(*impl.node, open_store, log_line);
    impl.membership->Tick(now);
  }
  if (!peers) {
    constexpr std::size_t kLongestDatagram = 65536;
    auto receive = [this](std::span<const char> datagram, const loop::Address& from) {
      HandleDatagram(datagram, from);
    };
    impl.reader.emplace(loop, impl.socket.Get(), kLongestDatagram, std::move(receive));
  }
  HandleTimer();
}

OwnerComponent::~OwnerComponent() {
  loop_.Cancel(impl_->timer);
}

void OwnerComponent::HandleTimer() {
  constexpr loop::Ms kTickInterval = 20;
  impl_->node->Tick(loop_.now());
  if (impl_->membership)
    impl_->membership->Tick(loop_.now());
  impl_->next_tick_at = loop_.now() + kTickInterval;
  if (!impl_->peers)
    impl_->timer = loop_.RunAt(impl_->next_tick_at, [this] { HandleTimer(); });
}

Ms OwnerComponent::NextTimerAt() const {
  return impl_->next_tick_at;
}

void OwnerComponent::HandleMessage(peers::Id from, std::span<const char> message) {
  auto frame = owner::DecodeFrame(message);
  if (!frame || frame->from != from)
    return void(++impl_->malformed);
  ++impl_->received;
  impl_->node->Receive(loop_.now(), message);
}

void OwnerComponent::HandleRawDatagram(std::span<const char> datagram) {
  auto frame = owner::DecodeFrame(datagram);
  if (!frame || frame->kind != owner::MessageKind::kStepResponse ||
      !impl_->settings.addresses.count(frame->from))
    return void(++impl_->malformed);
  ++impl_->received;
  impl_->node->Receive(loop_.now(), datagram);
}

void OwnerComponent::HandleDatagram(std::span<const char> datagram, const loop::Address& from) {
  constexpr std::string_view kStatusRequest = "DO?";
  if (std::string_view(datagram.data(), datagram.size()) == kStatusRequest) {
    std::string status = StatusJson();
    loop_.environment().SendTo(impl_->socket.Get(), status, from);
    return;
  }
  ++impl_->received;
  impl_->node->Receive(loop_.now(), datagram);
}

std::pair<std::uint64_t, bool> OwnerComponent::HeldLease(const std::string& task) const {
  for (const auto& lease : impl_->node->agent().HeldLeases())
    if (lease.task == task)
      return {lease.token, loop_.now() < lease.valid_until};
  return {0, false};
}
std::uint32_t OwnerComponent::LeaseHolder(const std::string& task) const {
  if (HeldLease(task).second)
    return impl_->settings.self;
  owner::Group* group = impl_->node->group();
  if (!group)
    return 0;
  auto entry = group->table().Tasks().find(task);
  return entry == group->table().Tasks().end() ? 0 : entry->second.holder;
}
void OwnerComponent::PermitLeases(bool permitted) {
  impl_->node->agent().PermitLeases(permitted);
}
OwnerComponent::GroupState OwnerComponent::group_state() const {
  GroupState state;
  // A front outside the group knows the group by its answers only: the leases it holds, or that it
  // was answered recently.
  owner::Group* group = impl_->node->group();
  state.leader_known = impl_->node->agent().KnowsLeader();
  // A member whose store failed counts as outside: the others' majority goes on without it.
  bool participates = group && group->member_state() != owner::Group::MemberState::kFailed;
  if (!participates) {
    state.founded = state.leader_known;
    return state;
  }
  state.in_group = true;
  state.member = group->member_state() == owner::Group::MemberState::kMember;
  state.lost = group->member_state() == owner::Group::MemberState::kLost;
  state.leader_known |= group->IsLeader() || group->Leader() != 0;
  state.founded = state.member;
  state.token = group->table().LastToken();
  return state;
}

std::string OwnerComponent::StatusJson() const {
  const Impl& impl = *impl_;
  owner::Node& node = *impl.node;
  auto boolean = [](bool value) {
    return std::string(value ? "true" : "false");
  };
  auto time_left = [&](owner::Ms until) {
    return until > 1e200 ? std::string("null") : std::to_string(std::lround(until - loop_.now()));
  };
  std::string json = "{\"self\":" + std::to_string(impl.settings.self) +
                     ",\"sent\":" + std::to_string(impl.sent) +
                     ",\"received\":" + std::to_string(impl.received) +
                     ",\"refused\":" + std::to_string(node.RejectedDatagrams() + impl.malformed);
  if (owner::Group* group = node.group()) {
    json += ",\"group\":\"" + std::string(ToString(group->member_state())) + "\",\"why\":\"" +
            group->FailureReason() + "\",\"leads\":" + boolean(group->IsLeader()) +
            ",\"leader\":" + std::to_string(group->Leader()) +
            ",\"term\":" + std::to_string(group->Term()) +
            ",\"lasting\":" + boolean(impl.membership->IsDurable()) +
            ",\"last_token\":" + std::to_string(group->table().LastToken()) + ",\"works\":[";
    bool first = true;
    for (const auto& [name, task] : group->table().Tasks()) {
      json += std::string(first ? "" : ",") + "{\"work\":\"" + name +
              "\",\"owner\":" + std::to_string(task.holder) +
              ",\"token\":" + std::to_string(task.token) +
              ",\"done\":" + std::to_string(task.done_steps) +
              ",\"steps\":" + std::to_string(task.steps) + ",\"state\":\"" +
              (task.finished      ? "finished"
               : task.abandoned   ? "abandoned"
               : task.holder != 0 ? "owned"
                                  : "free") +
              "\",\"lease_ends_in_ms\":" +
              (group->IsLeader() ? time_left(group->LeaseEnd(name)) : "null") + "}";
      first = false;
    }
    json += "]";
  } else {
    json += ",\"group\":\"none\"";
    if (impl.membership && !impl.membership->HasStore())
      json += ",\"store\":\"not used\"";
  }
  json += ",\"holds\":[";
  bool first = true;
  for (const auto& lease : node.agent().HeldLeases()) {
    json += std::string(first ? "" : ",") + "{\"work\":\"" + lease.task +
            "\",\"token\":" + std::to_string(lease.token) +
            ",\"done\":" + std::to_string(lease.done_steps) +
            ",\"acts_for_ms\":" + time_left(lease.valid_until) + "}";
    first = false;
  }
  return json + "]}";
}

}  // namespace dunlinwick::front

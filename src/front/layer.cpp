#include "front/layer.hpp"

#include <algorithm>
#include <set>

#include "front/active.hpp"
#include "front/record.hpp"
#include "front/recovery.hpp"
#include "front/rules.hpp"
#include "front/turning.hpp"
#include "generations/generations.hpp"
#include "log/log.hpp"
#include "store/lasting_floors.hpp"

namespace dunlinwick::front {

namespace {
constexpr const char* kTheWork = "record";
}

struct Layer::Inner {
  loop::Loop& loop;
  Configuration configuration;
  Ways ways;
  std::unique_ptr<store::LastingFloors> lasting_floors;  // none where no folder is configured
  store::KeptFloors current;                             // what this process knows and wants kept
  std::unique_ptr<Record> record;
  std::unique_ptr<Rules> rules;
  std::unique_ptr<Recovering> recovering;
  bool ejected = false;
  bool serves = true;
  LetIn admitted;
  // A front whose drift can break a rule takes no pull at all: each is declined at once.
  void ApplyAdmission() {
    if (serves)
      ways.exchange->Admit(admitted.by_request_class, admitted.come_back);
    else
      ways.exchange->Admit(std::vector<double>(configuration.settings.request_classes.size(), 0.0),
                           std::max(admitted.come_back, configuration.rules.terms.repair_within));
  }
  std::uint64_t said =
      0;  // of what is behind: full answers and time-outs, as counted at the last look
  struct Window {
    Ms at = 0;
    std::uint64_t requests = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t declined = 0;
    drift::Requests share;
  } window;
  std::map<std::string, Recall> standing;  // recalls in force: as many as the record holds

  Inner(loop::Loop& l, const Configuration& c, Ways w)
      : loop(l), configuration(c), ways(std::move(w)) {}

  std::uint32_t Self() const {
    return configuration.peers.self;
  }
  drift::Form active() const {
    StoreSettings settings =
        ways.generations ? ways.generations->settings() : configuration.settings;
    return drift::ActiveForm(settings, configuration.terms, configuration.fleet,
                             configuration.owner, DUNLINWICK_VERSION);
  }

  recovery::StoreSeen CheckStore() {
    recovery::StoreSeen seen;
    using State = recovery::StoreSeen::State;
    if (configuration.recovery.store.empty()) {
      seen.state = State::kNone;
    } else {
      // A store that can't be opened or read is a spoilt one: the front starts without it, trusts
      // nothing of it, says so, and tries again.
      store::KeptFloors found;
      auto open_disk = [folder =
                            configuration.recovery.store]() -> std::unique_ptr<store::FloorDisk> {
        return std::make_unique<store::FloorStore>(folder);
      };
      auto say = [this](const std::string& line) {
        log::Write("%s at %.0f", line.c_str(), loop.now());
      };
      lasting_floors = std::make_unique<store::LastingFloors>(open_disk, say);
      switch (lasting_floors->Start(loop.now(), Self(), found)) {
        case store::FloorDisk::Found::kEmpty:
          seen.state = State::kEmpty;
          break;
        case store::FloorDisk::Found::kCorrupted:
          seen.state = State::kCorrupted;
          break;
        case store::FloorDisk::Found::kGood:
          seen.state = found.whose == Self() ? State::kGood : State::kForeign;
          break;
      }
      seen.whose = found.whose;
      seen.floors = {found.token, found.offset, found.incarnation, found.rules_digest,
                     found.rules_version};
      seen.witnessed = found.witnessed;
      if (seen.state == State::kGood)
        current = found;
    }
    if (record && record->Keeps()) {
      record::Head head = record->head();
      if (record->Corrupted() &&
          (seen.state == State::kGood || seen.state == State::kNone || seen.state == State::kEmpty))
        seen.state = State::kHoled;
      seen.floors.token = std::max(seen.floors.token, head.promised);
      seen.floors.offset = std::max(seen.floors.offset, head.committed);
    }
    current.whose = Self();
    current.incarnation = std::max(current.incarnation + 1, static_cast<std::uint64_t>(loop.now()));
    Keep();
    return seen;
  }
  // Written before this front speaks, and as the floors rise; on a disk that fails the front serves
  // on, and writes them once it can.
  void Keep() {
    if (lasting_floors)
      lasting_floors->Keep(loop.now(), current);
  }
  void Raise() {
    if (ways.owner)
      current.token = std::max(current.token, ways.owner->group().token);
    if (record) {
      current.token = std::max(current.token, record->head().promised);
      current.offset = std::max(current.offset, record->Committed());
    }
    if (rules && rules->enabled()) {
      current.rules_digest = rules->Digest();
      current.rules_version = rules->version();
    }
    for (const auto& [id, incarnation] : heard_of) {
      auto& seen = current.witnessed[id];
      seen = std::max(seen, incarnation);
    }
    Keep();
  }
  // The incarnation of another front that this one is a witness of: only what lasts is told, where
  // anything does.
  std::uint64_t Witnessed(std::uint32_t front) const {
    const store::KeptFloors& notified = lasting_floors ? lasting_floors->Lasting() : current;
    auto at = notified.witnessed.find(front);
    return at == notified.witnessed.end() ? 0 : at->second;
  }
  std::string FloorsView() const {
    if (!lasting_floors)
      return "\"none\"";
    return lasting_floors->IsKept() ? "\"kept\"" : "\"not kept\"";
  }
  std::map<std::uint32_t, std::uint64_t>
      heard_of;  // incarnations that others told of themselves: one a front

  void Permit() {
    if (ways.owner)
      ways.owner->Permit(!ejected && (!recovering || recovering->MayOwn()));
  }

  Recovering::Now now() {
    Recovering::Now n;
    if (ways.owner) {
      Owner::Group g = ways.owner->group();
      n.group = {g.member, g.leader_known, g.founded, g.lost, g.token};
      // Outside the group there is no log of it to be behind: a leader that answered this process
      // is the present one, by its majority.
      if (!g.in_group && recovering)
        n.group.token = recovering->floors().token;
    } else {
      n.group = {false, true, true, false, 0};  // no group is set up: none to wait for
    }
    if (record)
      n.record = {record->Position(), record->Committed(), record->CaughtUp(), record->GoodAt(),
                  true};
    if (rules)
      n.rules = {rules->enabled(), rules->InStep(), rules->version(), rules->Digest()};
    const exchange::Counters& c = ways.exchange->counters;
    std::uint64_t bad = c.full + c.timed_out;
    n.crowded = bad > said;
    said = bad;
    Permit();
    Raise();
    return n;
  }

  drift::Requests requests() {
    constexpr Ms kEach = 1000;
    const exchange::Counters& c = ways.exchange->counters;
    // What it declines because it may not serve, or is still letting in, says nothing of the rules:
    // counted, the repair that mends it would be taken for the harm (seen between processes:
    // repairs stopped by the front that they had just mended).
    if (!serves || !admitted.by_request_class.empty()) {
      window.at = loop.now() - kEach;
      window.requests = c.requests;
      window.abandoned = c.abandoned;
      window.declined = c.declined;
    }
    if (loop.now() >= window.at + kEach) {
      double came = static_cast<double>(c.requests - window.requests);
      window.share =
          came > 0 ? drift::Requests{static_cast<double>(c.abandoned - window.abandoned) / came,
                                     static_cast<double>(c.declined - window.declined) / came}
                   : drift::Requests{};
      window.at = loop.now();
      window.requests = c.requests;
      window.abandoned = c.abandoned;
      window.declined = c.declined;
    }
    return window.share;
  }

  void recall(const Recall& r) {
    int request_class = -1;
    if (!r.request_class.empty()) {
      const auto& names = configuration.terms.request_classes;
      auto at = std::find(names.begin(), names.end(), r.request_class);
      if (at == names.end())
        return;  // not one of this front's
      request_class = static_cast<int>(at - names.begin());
    }
    std::string key = !r.object.empty()    ? "o" + r.object
                      : request_class >= 0 ? "f" + std::to_string(request_class)
                                           : "g" + std::to_string(r.group);
    if (r.lifted)
      standing.erase(key);
    else
      standing[key] = r;
    ways.exchange->RecallCame(r.object, r.group, request_class, r.lifted, r.ago);
  }
};

Layer::Layer(loop::Loop& loop, const Configuration& c, Ways ways)
    : inner_(std::make_unique<Inner>(loop, c, std::move(ways))) {
  Inner& in = *inner_;
  std::map<peers::Id, int> zone_of;
  std::vector<peers::Id> fronts;
  for (const auto& [id, at] : c.peers.at)
    fronts.push_back(id);
  for (const FleetMember& m : c.fleet.members)
    zone_of[m.id] = m.zone;
  for (peers::Id id : fronts)
    zone_of.try_emplace(id, 0);
  auto owns = [&in]() -> std::pair<std::uint64_t, bool> {
    return in.ways.owner ? in.ways.owner->Holds(kTheWork)
                         : std::pair<std::uint64_t, bool>{0, false};
  };
  if (c.rules.on) {
    Rules::Ways w;
    w.send = [&in](peers::Id to, std::string m) {
      return in.ways.send(to, peers::Channel::kRules, std::move(m));
    };
    w.active = [&in] {
      return in.active();
    };
    w.take_up = [&in](const drift::Form& form) -> std::string {
      if (!in.ways.generations)
        return "this front turns no generation";
      StoreSettings settings = in.ways.generations->settings();
      std::string why = TakeUp(form, in.active(), settings);
      if (why.empty())
        in.ways.turn(settings);
      return why;
    };
    w.owns = owns;
    w.requests = [&in] {
      return in.requests();
    };
    w.ejected = [&in](bool on) {
      in.ejected = on;
      in.Permit();
    };
    w.serves = [&in](bool may) {
      in.serves = may;
      in.ApplyAdmission();
    };
    RulesTerms terms = c.rules;
    terms.terms.fronts = fronts.size();
    in.rules = std::make_unique<Rules>(
        loop, terms, in.Self(),
        Rules::Fronts{zone_of,
                      c.fleet.zones.empty() ? std::vector<std::string>{"all"} : c.fleet.zones},
        drift::ActiveClasses(), c.seed, std::move(w));
  }
  if (c.record.on) {
    Record::Ways w;
    w.send = [&in](peers::Id to, std::string m) {
      return in.ways.send(to, peers::Channel::kRecord, std::move(m));
    };
    w.recall = [&in](const Recall& r) {
      in.recall(r);
    };
    w.recalls_void = [&in] {
      // What was told is told again from the beginning; what is not told again was lifted
      // meanwhile.
      auto before = std::move(in.standing);
      in.standing.clear();
      for (auto& [key, r] : before) {
        Recall lifted = r;
        lifted.lifted = true;
        in.recall(lifted);
      }
      if (in.rules)
        in.rules->StartOver();
    };
    w.other = [&in](const record::Entry& e) {
      if (e.stream == record::Stream::kRules && in.rules)
        in.rules->notified(e.offset, e.key, e.tombstone, e.value);
    };
    w.no_older = [&in](Ms than) {
      in.ways.exchange->LimitAge(than);
    };
    w.refuses = [&in](record::Stream stream, const std::string& key, bool tombstone,
                      const std::string& value) -> std::string {
      if (stream != record::Stream::kRules)
        return "";
      if (!in.rules)
        return "this front has no rules block";
      return tombstone ? "" : in.rules->Refuses(key, value);
    };
    w.owns = owns;
    w.owner = [&in]() -> peers::Id {
      return in.ways.owner ? in.ways.owner->OwnerOf(kTheWork) : 0;
    };
    in.record = std::make_unique<Record>(loop, c.record, in.Self(), c.seed, std::move(w));
  }
  if (c.recovery.on) {
    Recovering::Ways w;
    w.send = [&in](peers::Id to, std::string m) {
      return in.ways.send(to, peers::Channel::kRecovery, std::move(m));
    };
    w.now = [&in] {
      return in.now();
    };
    w.admit = [&in](std::vector<double> by_request_class, Ms come_back) {
      in.admitted = {std::move(by_request_class), come_back};
      in.ApplyAdmission();
    };
    w.heard = [&in](peers::Id from, std::uint64_t incarnation) {
      in.heard_of[from] = std::max(in.heard_of[from], incarnation);
    };
    w.seen = [&in](peers::Id of) {
      return in.Witnessed(of);
    };
    RecoveryTerms terms = c.recovery;
    std::set<int> zones;
    for (const auto& [id, zone] : zone_of)
      zones.insert(zone);
    terms.terms.zones = static_cast<int>(std::max<std::size_t>(1, zones.size()));
    terms.terms.zone = zone_of[in.Self()];
    terms.terms.zone_replicas =
        static_cast<int>(std::count_if(zone_of.begin(), zone_of.end(), [&](auto& one) {
          return one.second == zone_of[in.Self()];
        }));
    terms.terms.lease = c.owner.on ? c.owner.lease.lease : 0;
    terms.terms.margin = c.owner.lease.margin;
    terms.terms.drift = c.owner.lease.drift;
    for (const RequestClass& o : c.settings.request_classes) {
      terms.terms.payoff.push_back(o.payoff);
      terms.terms.certain.push_back(o.never_kept);
    }
    recovery::StoreSeen store = in.CheckStore();
    in.recovering = std::make_unique<Recovering>(loop, terms, in.Self(), fronts, store,
                                                 in.current.incarnation, std::move(w));
    in.Permit();
  }
}

Layer::~Layer() = default;

std::vector<Part*> Layer::parts() {
  std::vector<Part*> all;
  for (Part* p : std::initializer_list<Part*>{inner_->recovering.get(), inner_->rules.get(),
                                              inner_->record.get()})
    if (p)
      all.push_back(p);
  return all;
}

std::string Layer::status() const {
  auto view = [](const Part* p) {
    return p ? p->view() : std::string("null");
  };
  std::string s =
      "{\"self\":" + std::to_string(inner_->Self()) +
      ",\"recovery\":" + view(inner_->recovering.get()) + ",\"floors\":" + inner_->FloorsView() +
      ",\"record\":" + view(inner_->record.get()) + ",\"rules\":" + view(inner_->rules.get()) +
      ",\"recalls\":" + std::to_string(inner_->standing.size()) + ",\"generations\":[";
  if (inner_->ways.generations) {
    bool first = true;
    for (const auto& row : inner_->ways.generations->LiveGenerations()) {
      s += std::string(first ? "" : ",") + "{\"number\":" + std::to_string(row.number) +
           ",\"pulls\":" + std::to_string(row.requests) + "}";
      first = false;
    }
  }
  return s + "]}";
}

void Layer::Asked(std::span<const char> bytes, std::function<void(std::string)> reply) {
  if (inner_->record)
    inner_->record->Asked(bytes, std::move(reply));
}

}  // namespace dunlinwick::front

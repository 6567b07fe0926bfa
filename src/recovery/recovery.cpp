// The phases. Each call handles one event, then advances as far as conditions and time limits
// allow.
#include "recovery/recovery.hpp"

#include <algorithm>
#include <utility>

#include "recovery/floors.hpp"
#include "recovery/letting_in.hpp"

namespace dunlinwick::recovery {

namespace {
using State = StoreInspection::State;
constexpr PhaseDescription kPhaseTable[] = {
    {Phase::kStore, "own store checked", "what is certain, a first small part of it",
     "goes on as without a store"},
    {Phase::kPeers, "a majority heard", "what is certain, a first small part of it",
     "goes on without their word"},
    {Phase::kGroup, "a leader known, its token no lower than any floor",
     "what is certain, a first small part of it", "goes on without a group; owns nothing"},
    {Phase::kRecord, "caught up, no lower than any floor",
     "what is certain, a first small part of it", "goes on; only what is certain stays let in"},
    {Phase::kConfiguration, "active rules are the approved ones",
     "what is certain, a first small part of it", "goes on by the last kept rules"},
    {Phase::kAdmissionRamp, "all let in and the record caught up", "by class and step",
     "crowding no longer halves the steps"},
    {Phase::kComplete, "", "all", ""},
};
// Larger fleets evaluate the received hellos at the next event of another kind.
constexpr std::size_t kMaxFrontsForImmediateEvaluation = 32;
}  // namespace

const char* ToString(Phase phase) {
  static constexpr const char* kPhaseNames[] = {"store", "neighbours", "group", "record",
                                                "rules", "letting in", "whole"};
  return kPhaseNames[static_cast<std::size_t>(phase)];
}

std::span<const PhaseDescription> PhaseTable() {
  return kPhaseTable;
}

Ms PhaseTimeout(Phase phase, const Settings& settings) {
  switch (phase) {
    case Phase::kStore:
      return settings.store_timeout;
    case Phase::kPeers:
      return settings.peers_timeout;
    case Phase::kGroup:
      return settings.group_timeout;
    case Phase::kRecord:
      return settings.record_timeout;
    case Phase::kConfiguration:
      return settings.configuration_timeout;
    case Phase::kAdmissionRamp:
      return settings.ramp_timeout;
    case Phase::kComplete:
      break;
  }
  return 0;
}

// A front may be in any phase when faults end, and may have to go back once: when its own store is
// rejected or the group has lost its majority.
Ms MaxRecoveryTime(const Settings& settings) {
  Ms single_pass = settings.store_timeout + settings.peers_timeout + settings.group_timeout +
                   settings.record_timeout + settings.configuration_timeout;
  return 2 * single_pass + settings.ramp_timeout + AdmissionRampDuration(settings);
}

struct Recovery::Impl {
  struct PeerState {
    Hello hello;
    Ms received_at = 0;
    bool received = false;
  };

  Id self;
  std::vector<Id> fronts;
  Settings settings;
  std::uint64_t start_id;
  Ms started_at;
  Ms phase_since;
  Ms next_hello_at;
  Ms leases_allowed_at;
  Phase phase = Phase::kStore;
  std::map<Id, PeerState> peer_states;
  StoreInspection inspection;
  PersistedMinimums confirmed;  // announced by this front or reported by the group since the start
  PersistedMinimums minimums;   // the highest plausible values of all fronts
  bool store_checked = false;
  bool store_rejected = false;
  bool needs_evaluation = true;
  bool first_hello_sent = false;
  GroupState group;
  bool have_group = false;
  bool had_group = false;
  RecordState record;
  bool have_record = false;
  bool record_ready = false;
  ConfigurationState configuration;
  bool have_configuration = false;
  std::uint64_t first_announced_incarnation = 0;  // 0: none yet
  std::optional<bool> cold;
  Ms majority_reported_at = -1;  // when a majority had reported their stores for the first time
  bool loss_reported = false;
  bool whole_fleet_loss = false;
  LossReport last_loss;
  AdmissionRamp ramp;
  Ms ramp_started_at = 0;  // start of the time limit; reset if the record catches up late
  // By request class: the share of the certain classes that was admitted before the record caught
  // up. It stays admitted.
  std::vector<double> admitted_certain;
  std::optional<AdmissionUpdate> last_admission;
  std::size_t rotation = 0;
  std::vector<Action> actions;

  Impl(Id self_id, std::vector<Id> front_ids, Settings initial_settings,
       std::uint64_t process_start_id, Ms now)
      : self(self_id),
        fronts(std::move(front_ids)),
        settings(std::move(initial_settings)),
        start_id(process_start_id),
        started_at(now),
        phase_since(now),
        next_hello_at(now),
        leases_allowed_at(now + LeaseExpiryTime()),
        ramp(settings) {
    std::sort(fronts.begin(), fronts.end());
    fronts.erase(std::unique(fronts.begin(), fronts.end()), fronts.end());
    for (Id id : fronts)
      if (id != self)
        peer_states[id];
  }

  Ms LeaseExpiryTime() const {
    return settings.lease_duration * (1 + settings.clock_drift) + settings.lease_margin;
  }
  std::size_t Majority() const {
    return fronts.size() / 2 + 1;
  }
  bool IsPresent(const PeerState& peer, Ms now) const {
    return peer.received && now - peer.received_at <= settings.presence_timeout;
  }
  // Its uptime now is the reported one and the time since the report.
  bool IsRecentlyRestarted(const PeerState& peer, Ms now) const {
    return peer.hello.uptime + (now - peer.received_at) < settings.restart_window;
  }
  // Counts fronts that have checked their store: before that a hello carries no minimums.
  std::size_t PresentCount(Ms now) const {
    auto is_present = [&](auto& peer) {
      return IsPresent(peer.second, now) && peer.second.hello.phase > Phase::kStore;
    };
    return 1 + static_cast<std::size_t>(
                   std::count_if(peer_states.begin(), peer_states.end(), is_present));
  }
  bool HasReportedStore(const PeerState& peer) const {
    return peer.received && peer.hello.phase > Phase::kStore;
  }
  // All stores were reported, or enough usable ones to judge each other by.
  bool HasSufficientEvidence() const {
    std::size_t heard_count = 1, usable_count = IsUsable(inspection.state) ? 1 : 0;
    for (auto& [id, peer] : peer_states) {
      heard_count += HasReportedStore(peer);
      usable_count += HasReportedStore(peer) && IsUsable(peer.hello.store);
    }
    return heard_count == fronts.size() || usable_count >= Majority();
  }
  // The own store was compared with the others', or holds nothing that could be wrong. If too few
  // others report, the result counts after a time limit.
  bool IsOwnStoreJudged(Ms now) const {
    return !IsUsable(inspection.state) || HasSufficientEvidence() || HasWaitedForEvidence(now);
  }
  bool HasWaitedForEvidence(Ms now) const {
    return majority_reported_at >= 0 && now - majority_reported_at >= settings.group_timeout;
  }
  bool IsGroupUsable() const {
    return have_group && group.leader_known && group.token >= minimums.token;
  }
  bool IsCertainOnly() const {
    return phase < Phase::kAdmissionRamp || !record_ready;
  }

  // The fleet kept running, and so did a front of this zone: its caches and parents are warm.
  bool CanSkipRamp(Ms now) const {
    std::size_t running_count = 0;
    bool zone_running = cold ? !*cold : settings.zone_replicas <= 1;
    for (auto& [id, peer] : peer_states)
      if (IsPresent(peer, now) && peer.hello.phase == Phase::kComplete &&
          !IsRecentlyRestarted(peer, now)) {
        ++running_count;
        zone_running = zone_running || (!cold && peer.hello.zone == settings.zone);
      }
    return zone_running && !whole_fleet_loss &&
           running_count >= std::min(Majority(), std::max<std::size_t>(1, peer_states.size()));
  }

  Hello MakeHello(Id to, Ms now) const {
    Hello hello;
    hello.start_id = start_id;
    hello.uptime = now - started_at;
    hello.phase = phase;
    hello.store = inspection.state;
    hello.minimums = inspection.minimums;
    hello.minimums.token = std::max(hello.minimums.token, confirmed.token);
    hello.minimums.offset = std::max(hello.minimums.offset, confirmed.offset);
    hello.minimums.incarnation = std::max(hello.minimums.incarnation, confirmed.incarnation);
    hello.committed = record.committed;
    hello.zone = settings.zone;
    hello.admitted_share = ramp.Share();
    hello.group_has_leader = have_group && group.leader_known;
    hello.group_member = group.member;
    auto witnessed = inspection.witnessed_incarnations.find(to);
    hello.receiver_incarnation =
        witnessed == inspection.witnessed_incarnations.end() ? 0 : witnessed->second;
    return hello;
  }

  void SendHellos(Ms now) {
    if (now < next_hello_at)
      return;
    next_hello_at = now + settings.hello_interval;
    std::vector<Id> to;
    for (auto& [id, peer] : peer_states)
      if (phase != Phase::kComplete ||
          (IsPresent(peer, now) && peer.hello.phase != Phase::kComplete))
        to.push_back(id);
    std::size_t most =
        first_hello_sent ? std::max<std::size_t>(16, (peer_states.size() + 3) / 4) : to.size();
    first_hello_sent = true;
    if (to.size() > most) {
      std::rotate(to.begin(), to.begin() + static_cast<long>(rotation % to.size()), to.end());
      to.resize(most);
    }
    rotation += most;
    for (Id id : to)
      actions.push_back(SendHello{id, MakeHello(id, now)});
  }

  void EnterPhase(Ms now, Phase p, std::string reason, bool by_time = false) {
    phase = p;
    phase_since = now;
    if (p == Phase::kAdmissionRamp) {
      ramp_started_at = now;
      if (!CanSkipRamp(now))
        ramp.Restart();  // a front that kept running had admitted all; its upstreams may be cold
                         // now
      ramp.Start(now);
    }
    actions.push_back(PhaseEntered{p, std::move(reason), by_time});
  }

  void ReturnToPeers(Ms now, const std::string& reason) {
    // Earlier reports about the record and the configuration no longer count.
    record_ready = have_record = have_configuration = false;
    if (phase > Phase::kPeers)
      EnterPhase(now, Phase::kPeers, reason);
  }

  void RejectStore(Ms now, State new_state, Id owner_id, const std::string& reason) {
    inspection.state = new_state;
    inspection.minimums = {};
    inspection.witnessed_incarnations.clear();
    store_rejected = needs_evaluation = true;
    actions.push_back(StoreRejected{owner_id, reason});
    ReturnToPeers(now, "own store rejected: " + reason);
  }

  void EvaluateStores(Ms now) {
    needs_evaluation = false;
    std::vector<Claim> others;
    for (auto& [id, peer] : peer_states)
      if (peer.received)
        others.push_back({peer.hello.store, peer.hello.minimums, peer.hello.receiver_incarnation});
    auto earlier_claims = others;  // what they have seen of this front before its start
    if (first_announced_incarnation > 0)
      for (Claim& c : earlier_claims)
        if (c.own_incarnation_seen >= first_announced_incarnation &&
            c.own_incarnation_seen <= confirmed.incarnation)
          c.own_incarnation_seen = 0;
    auto own = [&] {
      return Claim{inspection.state, inspection.minimums, 0};
    };
    if (!store_rejected)
      if (std::string reason = RejectionReason(earlier_claims, own(), fronts.size(), settings);
          !reason.empty())
        RejectStore(now, State::kCorrupted, self, reason);
    PersistedMinimums combined = CombineMinimums(others, own(), fronts.size(), settings);
    combined.token = std::max(combined.token, confirmed.token);
    combined.offset = std::max(combined.offset, confirmed.offset);
    combined.incarnation = std::max(combined.incarnation, confirmed.incarnation);
    minimums = combined;
    needs_evaluation = false;
    auto reported_count = 1 + static_cast<std::size_t>(std::count_if(
                                  peer_states.begin(), peer_states.end(),
                                  [&](auto& peer) { return HasReportedStore(peer.second); }));
    if (majority_reported_at < 0 && reported_count >= Majority())
      majority_reported_at = now;
  }

  // Reported once a majority was heard, and again only if the extent of the loss changes.
  void ReportLoss(Ms now) {
    if (phase < Phase::kGroup || PresentCount(now) < Majority())
      return;
    LossReport loss;
    bool any_usable = IsUsable(inspection.state);
    (now - started_at < settings.restart_window ? loss.restarted : loss.kept_running) += 1;
    for (auto& [id, peer] : peer_states) {
      any_usable = any_usable || (peer.received && IsUsable(peer.hello.store));
      if (IsPresent(peer, now))
        (IsRecentlyRestarted(peer, now) ? loss.restarted : loss.kept_running) += 1;
    }
    whole_fleet_loss = whole_fleet_loss || static_cast<std::size_t>(loss.restarted) >= Majority();
    loss.whole_fleet = whole_fleet_loss;
    if (loss.whole_fleet && !any_usable)
      loss.lost_state =
          "no front heard has a usable store: the configuration, record and tokens from before are "
          "lost";
    else if (loss.whole_fleet && have_group && group.reformed)
      loss.lost_state =
          "the group's log is lost: re-formed above the persisted minimums of the remaining stores";
    if (loss_reported && loss.whole_fleet == last_loss.whole_fleet &&
        loss.lost_state == last_loss.lost_state)
      return;
    loss_reported = true;
    last_loss = loss;
    actions.push_back(loss);
  }

  bool IsPhaseTimedOut(Ms now) const {
    return now - (phase == Phase::kAdmissionRamp ? ramp_started_at : phase_since) >=
           PhaseTimeout(phase, settings);
  }

  bool Advance(Ms now) {
    switch (phase) {
      case Phase::kStore:
        if (store_checked) {
          EnterPhase(now, Phase::kPeers, "store checked");
          return true;
        }
        if (IsPhaseTimedOut(now)) {
          EnterPhase(now, Phase::kPeers, "store not readable in time", true);
          return true;
        }
        return false;
      case Phase::kPeers: {
        std::size_t present_count = PresentCount(now);
        bool enough = present_count >= Majority() &&
                      (present_count == fronts.size() ||
                       (HasSufficientEvidence() &&
                        (CanSkipRamp(now) || now - phase_since >= 4 * settings.hello_interval)));
        if (!enough && !IsPhaseTimedOut(now))
          return false;
        bool by_time = present_count < Majority();
        EnterPhase(now, Phase::kGroup,
                   std::to_string(present_count) + " of " + std::to_string(fronts.size()) +
                       " fronts are present",
                   by_time);
        if (CanSkipRamp(now))
          ramp.AdmitAll();
        return true;
      }
      case Phase::kGroup:
        if (IsGroupUsable()) {
          had_group = true;
          EnterPhase(now, Phase::kRecord, group.reformed ? "group re-formed" : "leader known");
          return true;
        }
        if (IsPhaseTimedOut(now)) {
          EnterPhase(now, Phase::kRecord,
                     "no leader with a token at or above the persisted minimum", true);
          return true;
        }
        return false;
      case Phase::kRecord:
        if (record_ready) {
          EnterPhase(now, Phase::kConfiguration, record.enabled ? "record caught up" : "no record");
          return true;
        }
        if (IsPhaseTimedOut(now)) {
          EnterPhase(now, Phase::kConfiguration, "record not caught up", true);
          return true;
        }
        return false;
      case Phase::kConfiguration:
        if (have_configuration && (!configuration.enabled || configuration.in_sync)) {
          EnterPhase(now, Phase::kAdmissionRamp,
                     configuration.enabled ? "configuration approved" : "no approval configured");
          return true;
        }
        if (IsPhaseTimedOut(now)) {
          EnterPhase(now, Phase::kAdmissionRamp, "configuration not known to be approved", true);
          return true;
        }
        return false;
      case Phase::kAdmissionRamp:
        if (record_ready && CanSkipRamp(now))
          ramp.AdmitAll();
        if (!record_ready || ramp.Share() < 1)
          return false;
        EnterPhase(now, Phase::kComplete,
                   CanSkipRamp(now) ? "the fleet kept running" : "all requests admitted",
                   IsPhaseTimedOut(now));
        return true;
      case Phase::kComplete:
        return false;
    }
    return false;
  }

  void UpdateAdmission() {
    AdmissionUpdate update;
    update.certain_only = IsCertainOnly();
    update.retry_after =
        update.certain_only || phase != Phase::kComplete ? settings.retry_after : 0;
    if (phase != Phase::kComplete)
      update.by_request_class = ramp.ByRequestClass(update.certain_only);
    for (std::size_t i = 0; i < std::min(update.by_request_class.size(), admitted_certain.size());
         ++i)
      update.by_request_class[i] = std::max(update.by_request_class[i], admitted_certain[i]);
    if (last_admission && last_admission->by_request_class == update.by_request_class &&
        last_admission->certain_only == update.certain_only)
      return;
    last_admission = update;
    actions.push_back(update);
  }

  void HandleEvent(Ms now, const StoreChecked& e) {
    if (store_checked)
      return;
    store_checked = needs_evaluation = true;
    inspection = e.inspection;
    bool is_foreign = inspection.owner_id != 0 && inspection.owner_id != self;
    if (inspection.state == State::kNone || inspection.state == State::kEmpty) {
      inspection.minimums = {};
      inspection.witnessed_incarnations.clear();
    } else if (is_foreign || inspection.state == State::kForeign)
      RejectStore(now, State::kForeign, inspection.owner_id, "it belongs to another front");
    else if (!IsUsable(inspection.state))
      RejectStore(now, inspection.state, self, "it is stale or corrupted");
    std::erase_if(inspection.witnessed_incarnations,
                  [&](auto& w) { return !peer_states.contains(w.first); });
  }

  void HandleEvent(Ms now, const HelloReceived& e) {
    auto peer = peer_states.find(e.from);
    if (peer == peer_states.end())
      return;
    bool first_since_start =
        !peer->second.received || peer->second.hello.start_id != e.hello.start_id;
    peer->second = {e.hello, now, true};
    needs_evaluation = true;
    if (first_since_start && phase != Phase::kStore)
      actions.push_back(SendHello{e.from, MakeHello(e.from, now)});
  }

  void HandleEvent(Ms now, const GroupState& e) {
    // A re-formed group knows no earlier leases: they are waited out from here.
    if (e.reformed && !(have_group && group.reformed))
      leases_allowed_at = std::max(leases_allowed_at, now + LeaseExpiryTime());
    group = e;
    have_group = true;
    if (e.leader_known && e.token >= minimums.token) {
      confirmed.token = std::max(confirmed.token, e.token);
      had_group = true;
      needs_evaluation = true;
    }
    if (e.majority_lost && std::exchange(had_group, false)) {
      loss_reported = whole_fleet_loss = false;
      last_loss = {};
      ReturnToPeers(now, "the group has lost its majority");
    }
  }

  void HandleEvent(Ms, const RecordState& e) {
    record = e;
    have_record = true;
  }
  void HandleEvent(Ms, const ConfigurationState& e) {
    configuration = e;
    have_configuration = true;
  }
  void HandleEvent(Ms now, const UpstreamState& e) {
    if (e.cold)
      cold = e.cold;
    if (e.overloaded && phase != Phase::kComplete)
      ramp.OnOverload(now, phase != Phase::kAdmissionRamp || !IsPhaseTimedOut(now));
  }
  void HandleEvent(Ms, const IncarnationAnnounced& e) {
    if (first_announced_incarnation == 0)
      first_announced_incarnation = e.incarnation;
    confirmed.incarnation = std::max(confirmed.incarnation, e.incarnation);
    needs_evaluation = true;
  }
  void HandleEvent(Ms, const Tick&) {}

  std::vector<Action> Handle(Ms now, const Event& event) {
    std::visit([&](auto& e) { HandleEvent(now, e); }, event);
    bool deferred = std::holds_alternative<HelloReceived>(event) &&
                    fronts.size() > kMaxFrontsForImmediateEvaluation;
    if (!deferred) {
      if (needs_evaluation)
        EvaluateStores(now);
      if (have_record &&
          (!record.enabled || (record.caught_up && IsGroupUsable() && IsOwnStoreJudged(now) &&
                               record.committed >= minimums.offset))) {
        if (!record_ready && phase == Phase::kAdmissionRamp && !CanSkipRamp(now)) {
          // The requests admitted so far put no load on caches and parents, so their capacity is
          // still unknown.
          admitted_certain = ramp.ByRequestClass(true);
          ramp.Restart();
          ramp.Start(now);
          ramp_started_at = now;
        }
        record_ready = true;
        if (record.enabled && record.committed > confirmed.offset) {
          confirmed.offset = record.committed;
          minimums.offset = std::max(minimums.offset, confirmed.offset);
        }
      }
      ReportLoss(now);
      while (Advance(now))
        ReportLoss(now);
      if (phase == Phase::kAdmissionRamp && ramp.Step(now))
        while (Advance(now)) {
        }
      UpdateAdmission();
      SendHellos(now);
    }
    return std::exchange(actions, {});
  }
};

Recovery::Recovery(Id self, std::vector<Id> fronts, Settings settings, std::uint64_t start_id,
                   Ms now)
    : impl_(std::make_shared<Impl>(self, std::move(fronts), std::move(settings), start_id, now)) {}
Recovery::~Recovery() = default;
std::vector<Action> Recovery::Handle(Ms now, const Event& event) {
  return impl_->Handle(now, event);
}
Phase Recovery::phase() const {
  return impl_->phase;
}
Ms Recovery::PhaseSince() const {
  return impl_->phase_since;
}
PersistedMinimums Recovery::minimums() const {
  return impl_->minimums;
}
bool Recovery::IsCertainOnly() const {
  return impl_->IsCertainOnly();
}
double Recovery::AdmittedShare() const {
  return impl_->ramp.Share();
}

bool Recovery::MayReformGroup(Ms now) const {
  const Impl& impl = *impl_;
  return impl.phase >= Phase::kGroup && impl.majority_reported_at >= 0 &&
         (impl.HasSufficientEvidence() || impl.HasWaitedForEvidence(now));
}

bool Recovery::MayAcquireLeases(Ms now) const {
  return now >= impl_->leases_allowed_at && impl_->phase > Phase::kGroup && impl_->IsGroupUsable();
}

Ms Recovery::NextTimerAt() const {
  const Impl& impl = *impl_;
  Ms timer_at = impl.next_hello_at,
     phase_ends_at = impl.phase_since + recovery::PhaseTimeout(impl.phase, impl.settings);
  if (impl.phase < Phase::kAdmissionRamp &&
      phase_ends_at > impl.next_hello_at - impl.settings.hello_interval)
    timer_at = std::min(timer_at, phase_ends_at);
  if (impl.phase == Phase::kAdmissionRamp)
    timer_at = std::min(timer_at, impl.ramp.NextStepAt());
  return timer_at;
}

}  // namespace dunlinwick::recovery

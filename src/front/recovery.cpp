#include "front/recovery.hpp"

#include <cstdio>

#include "log/log.hpp"

namespace dunlinwick::front {

namespace {
const char* ToString(recovery::StoreInspection::State state) {
  static const char* const kNames[] = {"none",    "empty", "good",  "holed",
                                       "foreign", "older", "spoilt"};
  return kNames[static_cast<int>(state)];
}
}  // namespace

RecoveryComponent::RecoveryComponent(loop::Loop& loop, const RecoverySettings& settings,
                                     peers::Id self, std::vector<peers::Id> fronts,
                                     const recovery::StoreInspection& store,
                                     std::uint64_t incarnation, Callbacks callbacks)
    : loop_(loop), callbacks_(std::move(callbacks)) {
  recovery_ = std::make_unique<recovery::Recovery>(
      self, std::move(fronts), settings.policy, static_cast<std::uint64_t>(loop.now()), loop.now());
  log::Write("recovery store %s token %llu offset %llu incarnation %llu at %.0f",
             ToString(store.state), static_cast<unsigned long long>(store.minimums.token),
             static_cast<unsigned long long>(store.minimums.offset),
             static_cast<unsigned long long>(store.minimums.incarnation), loop.now());
  Execute(recovery_->Handle(loop.now(), recovery::IncarnationAnnounced{incarnation}));
  Execute(recovery_->Handle(loop.now(), recovery::StoreChecked{store}));
  Execute(recovery_->Handle(loop.now(), recovery::Tick{}));
}

void RecoveryComponent::Execute(const std::vector<recovery::Action>& actions) {
  for (const recovery::Action& a : actions) {
    if (auto* send = std::get_if<recovery::SendHello>(&a)) {
      recovery::Hello hello = send->hello;
      hello.receiver_incarnation = callbacks_.witnessed_incarnation(send->to);
      callbacks_.send(send->to, recovery::Encode(hello));
    } else if (auto* entered = std::get_if<recovery::PhaseEntered>(&a)) {
      log::Write("recovery phase %s %s: %s at %.0f", recovery::ToString(entered->phase),
                 entered->by_time ? "by time" : "by condition", entered->reason.c_str(),
                 loop_.now());
    } else if (auto* admit = std::get_if<recovery::AdmissionUpdate>(&a)) {
      // Logged once a second at most while the shares grow; a change of what is served at once.
      if (admit->certain_only != certain_only_ || admit->by_request_class.empty() ||
          loop_.now() - admission_logged_at_ >= 1000) {
        std::string shares;
        for (double share : admit->by_request_class) {
          char text[32];
          std::snprintf(text, sizeof text, "%s%.3f", shares.empty() ? "" : ",", share);
          shares += text;
        }
        log::Write("recovery admits %s%s at %.0f", shares.empty() ? "all" : shares.c_str(),
                   admit->certain_only ? " certain only" : "", loop_.now());
        admission_logged_at_ = loop_.now();
      }
      certain_only_ = admit->certain_only;
      callbacks_.admit(admit->by_request_class, admit->retry_after);
    } else if (auto* loss = std::get_if<recovery::LossReport>(&a)) {
      log::Write("recovery loss %s restarted %d kept running %d: %s at %.0f",
                 loss->whole_fleet ? "whole" : "part", loss->restarted, loss->kept_running,
                 loss->lost_state.empty() ? "nothing was lost" : loss->lost_state.c_str(),
                 loop_.now());
    } else if (auto* corrupted = std::get_if<recovery::StoreRejected>(&a)) {
      log::Write("recovery corrupted store of front %u: %s at %.0f", corrupted->owner_id,
                 corrupted->reason.c_str(), loop_.now());
    }
  }
}

void RecoveryComponent::HandleMessage(peers::Id from, std::span<const char> message) {
  auto hello = recovery::Decode(message);
  if (!hello)
    return;
  callbacks_.incarnation_received(from, hello->minimums.incarnation);
  Execute(recovery_->Handle(loop_.now(), recovery::HelloReceived{from, *hello}));
}

void RecoveryComponent::HandleTimer() {
  State state = callbacks_.state();
  for (const recovery::Event& e :
       {recovery::Event(state.group), recovery::Event(state.record), recovery::Event(state.rules),
        recovery::Event(recovery::UpstreamState{state.overloaded, std::nullopt}),
        recovery::Event(recovery::Tick{})})
    Execute(recovery_->Handle(loop_.now(), e));
  // The other components' state is read at these intervals; never twice in one turn of the loop.
  constexpr Ms kMaxInterval = 100, kMinInterval = 10;
  next_timer_at_ = std::max(loop_.now() + kMinInterval,
                            std::min(recovery_->NextTimerAt(), loop_.now() + kMaxInterval));
}

Ms RecoveryComponent::NextTimerAt() const {
  return next_timer_at_;
}
bool RecoveryComponent::MayAcquireLeases() const {
  return recovery_->MayAcquireLeases(loop_.now());
}
recovery::Phase RecoveryComponent::phase() const {
  return recovery_->phase();
}
recovery::PersistedMinimums RecoveryComponent::persisted_minimums() const {
  return recovery_->minimums();
}

std::string RecoveryComponent::StatusJson() const {
  recovery::PersistedMinimums minimums = recovery_->minimums();
  char share[32];
  std::snprintf(share, sizeof share, "%.3f", recovery_->AdmittedShare());
  return "{\"phase\":\"" + std::string(recovery::ToString(recovery_->phase())) +
         "\",\"since_ms\":" +
         std::to_string(static_cast<long long>(loop_.now() - recovery_->PhaseSince())) +
         ",\"carries\":" + share + ",\"certain_only\":" + (certain_only_ ? "true" : "false") +
         ",\"may_own\":" + (MayAcquireLeases() ? "true" : "false") +
         ",\"token_floor\":" + std::to_string(minimums.token) +
         ",\"offset_floor\":" + std::to_string(minimums.offset) + "}";
}

}  // namespace dunlinwick::front

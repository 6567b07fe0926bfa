// The router, the one way in: handle() takes what happened at `now` and returns what is to be done,
// in order. Departures from the design: docs/design.md. Nothing in this folder reads a clock, does
// I/O, or knows a name.
#include "logic/legs.hpp"

namespace dunlinwick {

struct Router::Mind {
  logic::Turn turn;
  const logic::Figures figures;
  logic::Requests requests;
  const logic::Part part{turn, figures, requests};
  logic::Purges purges{part};
  logic::Memories memories{part, purges};
  logic::Roster roster{part, {}, memories};
  logic::Load load{part, roster};
  logic::Cold cold{part, load};
  logic::Health health{part, load};
  logic::Choice choice{part, load, cold, health};
  logic::Sources sources{part, purges, load, choice};
  logic::Attempts attempts{part, memories, load, choice, sources, {part, load}};

  Mind(const StoreSettings& s, std::uint64_t seed)
      : turn{.chance = std::knuth_b(seed)}, figures(s) {
    memories.Start(s.request_classes);
  }

  void take(const ListNews& e) {
    roster.Take(e) ? load.ExpectLink() : void();
  }
  void take(const RequestCame& e) {
    attempts.Arrive(e);
  }
  void take(const AttemptEnded& e) {
    attempts.Ended(e);
  }
  void take(const ProbeEnded& e) {
    health.Probed(e);
  }
  void take(const Purged& e) {
    purges.Take(e);
  }
  void take(const ZoneShares& e) {
    choice.Take(e);
  }
  void take(const NoOlder& e) {
    purges.no_older = e.than;
  }
  void take(const LetIn& e) {
    choice.admitted = e;
  }
  void take(const PeerSaid&) {}  // fronts tell each other nothing this way
  void take(const AttemptStarted& e) {
    logic::Request* p =
        requests.Known(e.request);  // the client owns that leg now: nothing binds it but its end
    if (p && !p->ended) {
      p->streaming = true;
      attempts.CallOff(*p, e.attempt);
    }
  }
  void take(const ClientLeft& e) {
    logic::Request* p = requests.Known(e.request);
    if (p && !p->ended)
      attempts.Finish(*p);
    if (p)
      requests.Forget(*p);
  }
  void take(const DeadlineShortened& e) {
    if (logic::Request* p = requests.Known(e.request); p && !p->ended)
      attempts.ExpireIn(*p, e.ttl);
  }
  void take(const WakeUp& e) {
    if (e.handle >> 56 == logic::kWakeList)
      turn.todo->push_back(FollowList{});
    if (e.handle >> 56 == logic::kWakeMachine)
      health.Wake(e);
    if (e.handle >> 56 == logic::kWakeRequest)
      attempts.Wake(static_cast<std::uint32_t>(e.handle));
  }
};

Router::Router(const StoreSettings& settings, std::uint64_t seed)
    : mind_(std::make_unique<Mind>(settings, seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;

std::vector<Action> Router::Handle(Ms now, const Event& event) {
  std::vector<Action> todo;
  mind_->turn.now = now;
  mind_->turn.todo = &todo;
  std::visit([&](const auto& e) { mind_->take(e); }, event);
  return todo;
}

}  // namespace dunlinwick

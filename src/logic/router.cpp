// The router, the one way in: handle() takes what happened at `now` and returns what is to be done,
// in order. Departures from the design: docs/design.md. Nothing in this folder reads a clock, does
// I/O, or knows a name.
#include "logic/legs.hpp"

namespace dunlinwick {

struct Router::Mind {
  logic::Turn turn;
  const logic::Figures figures;
  logic::Pulls pulls;
  const logic::Part part{turn, figures, pulls};
  logic::Purges purges{part};
  logic::Memories memories{part, purges};
  logic::Roster roster{part, {}, memories};
  logic::Load load{part, roster};
  logic::Cold cold{part, load};
  logic::Health health{part, load};
  logic::Choice choice{part, load, cold, health};
  logic::Sources sources{part, purges, load, choice};
  logic::Legs legs{part, memories, load, choice, sources};

  Mind(const StoreSheet& s, std::uint64_t seed) : turn{.chance = std::knuth_b(seed)}, figures(s) {
    memories.Start(s.offerings);
  }

  void take(const ListNews& e) {
    roster.Take(e) ? load.ExpectLink() : void();
  }
  void take(const PullCame& e) {
    legs.Arrive(e);
  }
  void take(const LegEnded& e) {
    legs.Ended(e);
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
  void take(const LegStarted& e) {
    logic::Pull* p =
        pulls.Known(e.pull);  // the client owns that leg now: nothing binds it but its end
    if (p && !p->ended) {
      p->streaming = true;
      legs.CallOff(*p, e.leg);
    }
  }
  void take(const ClientLeft& e) {
    logic::Pull* p = pulls.Known(e.pull);
    if (p && !p->ended)
      legs.Finish(*p);
    if (p)
      pulls.Forget(*p);
  }
  void take(const WakeUp& e) {
    if (e.handle >> 56 == logic::kWakeList)
      turn.todo->push_back(FollowList{});
    if (e.handle >> 56 == logic::kWakeMachine)
      health.Wake(e);
    if (e.handle >> 56 == logic::kWakePull)
      legs.Wake(static_cast<std::uint32_t>(e.handle));
  }
};

Router::Router(const StoreSheet& sheet, std::uint64_t seed)
    : mind_(std::make_unique<Mind>(sheet, seed)) {}
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

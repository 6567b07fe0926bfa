// The router, the one way in: handle() takes what happened at `now` and returns what is to be done, in order.
// Departures from the design: docs/design.md. Nothing in this folder reads a clock, does I/O, or knows a
// name.
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
    memories.start(s.offerings);
  }

  void take(const ListNews& e) { roster.take(e) ? load.expectLink() : void(); }
  void take(const PullCame& e) { legs.arrive(e); }
  void take(const LegEnded& e) { legs.ended(e); }
  void take(const ProbeEnded& e) { health.probed(e); }
  void take(const Purged& e) { purges.take(e); }
  void take(const ZoneShares& e) { choice.take(e); }
  void take(const NoOlder& e) { purges.noOlder = e.than; }
  void take(const LetIn& e) { choice.admitted = e; }
  void take(const PeerSaid&) {}  // fronts tell each other nothing this way
  void take(const LegStarted& e) {
    logic::Pull* p = pulls.known(e.pull);  // the client owns that leg now: nothing binds it but its end
    if (p && !p->ended) p->streaming = true, legs.callOff(*p, e.leg);
  }
  void take(const ClientLeft& e) {
    logic::Pull* p = pulls.known(e.pull);
    if (p && !p->ended) legs.finish(*p);
    if (p) pulls.forget(*p);
  }
  void take(const WakeUp& e) {
    if (e.handle >> 56 == logic::wakeList) turn.todo->push_back(FollowList{});
    if (e.handle >> 56 == logic::wakeMachine) health.wake(e);
    if (e.handle >> 56 == logic::wakePull) legs.wake(static_cast<std::uint32_t>(e.handle));
  }
};

Router::Router(const StoreSheet& sheet, std::uint64_t seed) : mind_(std::make_unique<Mind>(sheet, seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;

std::vector<Action> Router::handle(Ms now, const Event& event) {
  std::vector<Action> todo;
  mind_->turn.now = now, mind_->turn.todo = &todo;
  std::visit([&](const auto& e) { mind_->take(e); }, event);
  return todo;
}

}  // namespace dunlinwick

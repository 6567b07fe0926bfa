// Judges the five rules, that no refusal is held back, and that a front cut off from its fleet keeps its zone, from what the world saw on the wire: what clients
// asked and were told, what came to machines, what machines said, what the notice board told. Nothing that a
// front says of itself goes in. Pure: facts in, breaches out; facts come in the order of their times.
//
// Every time limit is longer by `slack`, for the way between a front and whoever saw it.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dunlinwick::rules {

using Ms = double;

enum class Deed {
  asked,      // pull, thing, who: the front, offering, group, number: how long its client waits
  answered,   // pull, who: the front, status, tag, flag: its bytes are whole and those of the tag
  left,       // pull: its client went before its time
  legCame,    // pull, who: the machine, other: the source or ""
  legEnded,   // pull, who: the machine, word, tag, number: when the copy was issued
  legDropped, // pull, who: the machine; the front gave it up, or its connection ended
  ran,        // pull, thing, who: the machine
  listed,     // who: the front that was told, other: the machine, word: ready, draining or gone
  purged,     // who: the front that was told, thing or group (flag: a whole group), number: when it was purged
  pushedOver, // who: the machine, number: work in the window, limit
  coldPush,   // number: share of the limit
  frontUp,    // who
  frontDown,  // who: killed; what it held is owed no more
  parted,     // who: the front, group: its zone, flag: from now on, else no more: it is cut off from a quorum of its fleet
  unseen      // number: until when legs may be on their way to where nobody sees them; flag: answers too,
              // by a network that loses or holds up what fronts say
};
const char* word(Deed deed);

struct Fact {
  Ms at = 0;
  Deed deed = Deed::asked;
  std::string pull, thing, who, other, word, tag;
  int offering = 0, group = 0, status = 0;
  double number = 0, limit = 0;
  bool flag = false;
};
// One line of a trace, without its end; and back, nothing where it is none.
std::string line(const Fact& fact);
std::optional<Fact> readLine(std::string_view line);

enum class Rule { answer, effect, drain, cold, purge, held, near };
constexpr int howMany = 7;
const char* word(Rule rule);

struct Breach {
  Rule rule = Rule::answer;
  Ms at = 0;
  std::string pull, who, what;  // what: in plain words, with what was seen
};

enum class Effect { rerunnable, ticketed, exclusive };
enum class Span { everywhere, zone, cell };
struct OfferingRule {
  std::string name;
  Effect effect = Effect::rerunnable;
  Span span = Span::cell;
  Ms memory = 0;
};

struct Limits {
  std::vector<OfferingRule> offerings;
  Ms drainGrace = 500, purgeGrace = 500, purgeDone = 6000;
  Ms slack = 50;
  Ms heldAtMost = 600;  // after all of its legs have ended, before a decline
  std::map<std::string, std::pair<int, int>> places;  // of machines: zone and cell, for ticketed offerings
};

// How near the run came to each limit.
struct Nearest {
  Ms answerLeft = 1e9;   // of a client's time, at the latest answer
  Ms drainAfter = 0;     // a leg to a machine that leaves, after the front was told
  double coldShare = 0;  // of what a cold machine bears in a window
  Ms purgeAfter = 0;     // a leg answered from an older copy, after the front was told
  Ms held = 0;           // a decline after its pull's last leg had ended
};

class Checker {
 public:
  explicit Checker(Limits limits);
  void take(const Fact& fact);
  void finish(Ms at);  // what is owed by then
  const std::vector<Breach>& breaches() const { return breaches_; }
  std::uint64_t count(Rule rule) const { return counts_[static_cast<int>(rule)]; }
  bool kept() const { return breaches_.empty(); }
  const Nearest& nearest() const { return nearest_; }

 private:
  enum class Fate { out, notRun, mayHaveRun };
  struct Leg {
    std::string machine, source;
    Ms cameAt = 0;
    Fate fate = Fate::out;
    std::string tag;
    Ms issued = 0;
  };
  struct Pull {
    std::string thing, front;
    int offering = 0, group = 0, life = 0;
    Ms askedAt = 0, due = 0, quietSince = 0;
    bool answered = false, declined = false, left = false;
    std::vector<Leg> legs;
  };
  struct Purge {
    bool wholeGroup = false;
    std::string thing;
    int group = 0;
    Ms at = 0, told = 0;
  };
  struct Front {
    int life = 0;
    bool up = false;
    int partedIn = -1;                  // its zone, while it is cut off from a quorum of its fleet
    Ms partedAt = 0;
    std::map<std::string, Ms> leaving;  // machines; emptied when they are ready again
    std::deque<Purge> purges;           // emptied some time after they are done everywhere
  };
  void breach(Rule rule, const Fact& fact, const std::string& who, std::string what);
  void pass(Ms time);
  void legCame(const Fact& f);
  void legEnded(const Fact& f);
  void answered(const Fact& f);

  Limits limits_;
  Ms unseenUntil_ = 0, unheardUntil_ = 0;
  std::map<std::string, Pull> pulls_;  // emptied some time after their end
  std::multimap<Ms, std::string> due_;
  std::deque<std::pair<Ms, std::string>> old_;
  std::map<std::string, Front> fronts_;
  std::map<std::string, std::string> effects_;  // exclusive things that ran, with the pull; by the run's length
  std::vector<Breach> breaches_;                // the first hundred of each rule
  std::uint64_t counts_[howMany] = {};
  Nearest nearest_;
};

}  // namespace dunlinwick::rules

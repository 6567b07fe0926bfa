// Judges the five rules, that no refusal is held back, and that a front cut off from its fleet
// keeps its zone, from what the world saw on the wire: what clients asked and were told, what came
// to machines, what machines said, what the notice board told. Nothing that a front says of itself
// goes in. Pure: facts in, breaches out; facts come in the order of their times.
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
  kAsked,     // pull, thing, who: the front, offering, group, number: how long its client waits
  kAnswered,  // pull, who: the front, status, tag, flag: its bytes are whole and those of the tag
  kLeft,      // pull: its client went before its time
  kAttemptCame,     // pull, who: the machine, other: the source or ""
  kAttemptEnded,    // pull, who: the machine, word, tag, number: when the copy was issued
  kAttemptDropped,  // pull, who: the machine; the front gave it up, or its connection ended
  kRan,             // pull, thing, who: the machine
  kListed,  // who: the front that was told, other: the machine, word: ready, draining or gone
  kPurged,  // who: the front that was told, thing or group (flag: a whole group), number: when it
            // was purged
  kPushedOver,  // who: the machine, number: work in the window, limit
  kColdPush,    // number: share of the limit
  kFrontUp,     // who
  kFrontDown,   // who: killed; what it held is owed no more
  kParted,  // who: the front, group: its zone, flag: from now on, else no more: it is cut off from
            // a quorum of its fleet
  kUnseen   // number: until when legs may be on their way to where nobody sees them; flag: answers
            // too, by a network that loses or holds up what fronts say
};
const char* ToString(Deed deed);

struct Fact {
  Ms at = 0;
  Deed deed = Deed::kAsked;
  std::string request;
  std::string thing;
  std::string who;
  std::string other;
  std::string word;
  std::string tag;
  int request_class = 0;
  int group = 0;
  int status = 0;
  double number = 0;
  double limit = 0;
  bool flag = false;
};
// One line of a trace, without its end; and back, nothing where it is none.
std::string Line(const Fact& fact);
std::optional<Fact> ReadLine(std::string_view line);

enum class Rule {
  kAnswer,
  kEffect,
  kDrain,
  kCold,
  kPurge,
  kHeld,
  kNear
};
constexpr int kHowMany = 7;
const char* ToString(Rule rule);

struct Breach {
  Rule rule = Rule::kAnswer;
  Ms at = 0;
  std::string request;
  std::string who;
  std::string what;  // what: in plain words, with what was seen
};

enum class Effect {
  kIdempotent,
  kIdempotentWithKey,
  kExclusive
};
enum class Span {
  kEverywhere,
  kZone,
  kCell
};
struct RequestClassRule {
  std::string name;
  Effect effect = Effect::kIdempotent;
  Span span = Span::kCell;
  Ms memory = 0;
};

struct Limits {
  std::vector<RequestClassRule> request_classes;
  Ms drain_grace = 500;
  Ms purge_grace = 500;
  Ms purge_done = 6000;
  Ms slack = 50;
  Ms held_at_most = 600;  // after all of its legs have ended, before a decline
  std::map<std::string, std::pair<int, int>>
      places;  // of machines: zone and cell, for ticketed offerings
};

// How near the run came to each limit.
struct Nearest {
  Ms answer_left = 1e9;   // of a client's time, at the latest answer
  Ms drain_after = 0;     // a leg to a machine that leaves, after the front was told
  double cold_share = 0;  // of what a cold machine bears in a window
  Ms purge_after = 0;     // a leg answered from an older copy, after the front was told
  Ms held = 0;            // a decline after its pull's last leg had ended
};

class Checker {
 public:
  explicit Checker(Limits limits);
  void Take(const Fact& fact);
  void Finish(Ms at);  // what is owed by then
  const std::vector<Breach>& Breaches() const {
    return breaches_;
  }
  std::uint64_t Count(Rule rule) const {
    return counts_[static_cast<int>(rule)];
  }
  bool Kept() const {
    return breaches_.empty();
  }
  const Nearest& nearest() const {
    return nearest_;
  }

 private:
  enum class Fate {
    kOut,
    kNotRun,
    kMayHaveRun
  };
  struct Attempt {
    std::string machine;
    std::string source;
    Ms came_at = 0;
    Fate fate = Fate::kOut;
    std::string tag;
    Ms issued = 0;
  };
  struct Request {
    std::string thing;
    std::string front;
    int request_class = 0;
    int group = 0;
    int life = 0;
    Ms asked_at = 0;
    Ms due = 0;
    Ms quiet_since = 0;
    bool answered = false;
    bool declined = false;
    bool left = false;
    std::vector<Attempt> attempts;
  };
  struct Purge {
    bool whole_group = false;
    std::string thing;
    int group = 0;
    Ms at = 0;
    Ms notified = 0;
  };
  struct Front {
    int life = 0;
    bool up = false;
    int parted_in = -1;  // its zone, while it is cut off from a quorum of its fleet
    Ms parted_at = 0;
    std::map<std::string, Ms> leaving;  // machines; emptied when they are ready again
    std::deque<Purge> purges;           // emptied some time after they are done everywhere
  };
  void breach(Rule rule, const Fact& fact, const std::string& who, std::string what);
  void Pass(Ms time);
  void AttemptCame(const Fact& f);
  void AttemptEnded(const Fact& f);
  void Answered(const Fact& f);

  Limits limits_;
  Ms unseen_until_ = 0;
  Ms unheard_until_ = 0;
  std::map<std::string, Request> requests_;  // emptied some time after their end
  std::multimap<Ms, std::string> due_;
  std::deque<std::pair<Ms, std::string>> old_;
  std::map<std::string, Front> fronts_;
  std::map<std::string, std::string>
      effects_;                   // exclusive things that ran, with the pull; by the run's length
  std::vector<Breach> breaches_;  // the first hundred of each rule
  std::uint64_t counts_[kHowMany] = {};
  Nearest nearest_;
};

}  // namespace dunlinwick::rules

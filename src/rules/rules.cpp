#include "rules/rules.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace dunlinwick::rules {
namespace {

constexpr std::array<const char*, 15> kDeeds{"asked",      "answered",    "left",      "leg_came",
                                             "leg_ended",  "leg_dropped", "ran",       "listed",
                                             "purged",     "pushed_over", "cold_push", "front_up",
                                             "front_down", "parted",      "unseen"};

std::string Whole(Ms ms) {
  return std::to_string(static_cast<long long>(ms + 0.5)) + " ms";
}

}  // namespace

const char* ToString(Deed deed) {
  return kDeeds[static_cast<std::size_t>(deed)];
}

const char* ToString(Rule rule) {
  static const char* const kWords[] = {
      "one final answer, in time",   "no effect twice", "drains kept",
      "cold machines not pushed",    "purges kept",     "refusals not held back",
      "a front alone keeps its zone"};
  return kWords[static_cast<int>(rule)];
}

std::string Line(const Fact& f) {
  char numbers[160];
  std::snprintf(numbers, sizeof numbers, "\t%d\t%d\t%d\t%.3f\t%.3f\t%d", f.request_class, f.group,
                f.status, f.number, f.limit, f.flag ? 1 : 0);
  char at[40];
  std::snprintf(at, sizeof at, "%.3f\t", f.at);
  std::string out = std::string(at) + ToString(f.deed);
  for (const std::string* one : {&f.request, &f.thing, &f.who, &f.other, &f.word, &f.tag})
    out.append("\t").append(one->empty() ? "-" : *one);
  return out + numbers;
}

std::optional<Fact> ReadLine(std::string_view text) {
  std::vector<std::string> parts;
  while (true) {
    std::size_t end = text.find('\t');
    parts.emplace_back(text.substr(0, end));
    if (end == text.npos)
      break;
    text.remove_prefix(end + 1);
  }
  if (parts.size() != 14)
    return std::nullopt;
  auto number = [](const std::string& t, auto& into) {
    auto [end, fault] = std::from_chars(t.data(), t.data() + t.size(), into);
    return fault == std::errc{} && end == t.data() + t.size();
  };
  Fact f;
  auto deed = std::find(kDeeds.begin(), kDeeds.end(), parts[1]);
  int flag = 0;
  if (deed == kDeeds.end() || !number(parts[0], f.at) || !number(parts[8], f.request_class) ||
      !number(parts[9], f.group) || !number(parts[10], f.status) || !number(parts[11], f.number) ||
      !number(parts[12], f.limit) || !number(parts[13], flag))
    return std::nullopt;
  f.deed = static_cast<Deed>(deed - kDeeds.begin());
  f.flag = flag != 0;
  int at = 2;
  for (std::string* one : {&f.request, &f.thing, &f.who, &f.other, &f.word, &f.tag}) {
    *one = parts[static_cast<std::size_t>(at++)];
    if (*one == "-")
      one->clear();
  }
  return f;
}

Checker::Checker(Limits limits) : limits_(std::move(limits)) {}

void Checker::breach(Rule rule, const Fact& f, const std::string& who, std::string what) {
  constexpr std::uint64_t kMost = 100;
  if (++counts_[static_cast<int>(rule)] <= kMost)
    breaches_.push_back({rule, f.at, f.request, who, std::move(what)});
}

// What was owed by then and has not come; and what is forgotten.
void Checker::Pass(Ms time) {
  while (!due_.empty() && due_.begin()->first < time) {
    std::string id = due_.begin()->second;
    Ms due = due_.begin()->first;
    due_.erase(due_.begin());
    auto at = requests_.find(id);
    if (at == requests_.end())
      continue;
    Request& p = at->second;
    Front& front = fronts_[p.front];
    if (!p.answered && !p.left && front.up && front.life == p.life && due > unheard_until_) {
      Fact f;
      f.at = due;
      f.request = id;
      breach(Rule::kAnswer, f, p.front,
             "no final answer within the " + Whole(p.due - p.asked_at) + " of its client; " +
                 std::to_string(p.attempts.size()) + " legs came to machines");
    }
  }
  constexpr Ms kKept = 20000;
  while (!old_.empty() && old_.front().first < time - kKept) {
    requests_.erase(old_.front().second);
    old_.pop_front();
  }
}

void Checker::Take(const Fact& f) {
  Pass(f.at);
  switch (f.deed) {
    case Deed::kAsked: {
      Request p;
      p.thing = f.thing;
      p.front = f.who;
      p.request_class = f.request_class;
      p.group = f.group;
      p.asked_at = p.quiet_since = f.at;
      p.due = f.at + f.number;
      // Written towards a front that has died, before its client could know: nobody took it.
      p.life = fronts_[f.who].up ? fronts_[f.who].life : -1;
      due_.insert({p.due + limits_.slack, f.request});
      old_.push_back({p.due, f.request});
      requests_[f.request] = std::move(p);
      return;
    }
    case Deed::kAnswered:
      return Answered(f);
    case Deed::kLeft:
      if (auto at = requests_.find(f.request); at != requests_.end())
        at->second.left = true;
      return;
    case Deed::kAttemptCame:
      return AttemptCame(f);
    case Deed::kAttemptEnded:
    case Deed::kAttemptDropped:
      return AttemptEnded(f);
    case Deed::kRan: {
      auto at = requests_.find(f.request);
      if (at == requests_.end() ||
          limits_.request_classes[static_cast<std::size_t>(at->second.request_class)].effect !=
              Effect::kExclusive)
        return;
      auto [before, fresh] = effects_.insert({f.thing, f.request});
      if (!fresh)
        breach(Rule::kEffect, f, at->second.front,
               "the effect of " + f.thing + " ran again; it had run for pull " + before->second);
      return;
    }
    case Deed::kListed: {
      auto& leaving = fronts_[f.who].leaving;
      if (f.word == "ready")
        leaving.erase(f.other);
      else
        leaving.insert({f.other, f.at});  // the first word counts
      return;
    }
    case Deed::kPurged: {
      auto& purges = fronts_[f.who].purges;
      purges.push_back({f.flag, f.thing, f.group, f.number, f.at});
      // No copy older than a purge is left once it is done everywhere and a pull that met it has
      // ended.
      while (purges.front().notified < f.at - limits_.purge_done - 20000)
        purges.pop_front();
      return;
    }
    case Deed::kPushedOver:
      return breach(Rule::kCold, f, f.who,
                    "started cold and was sent " + Whole(f.number) +
                        " of work in one window, where it bears " + Whole(f.limit));
    case Deed::kColdPush:
      nearest_.cold_share = std::max(nearest_.cold_share, f.number);
      return;
    case Deed::kFrontUp: {
      Front& front = fronts_[f.who];
      front.up = true;
      front.leaving.clear();
      front.purges.clear();
      return;
    }
    case Deed::kFrontDown: {
      Front& front = fronts_[f.who];
      front.up = false;
      ++front.life;
      return;
    }
    case Deed::kParted: {
      Front& front = fronts_[f.who];
      front.parted_in = f.flag ? f.group : -1;
      front.parted_at = f.at;
      return;
    }
    case Deed::kUnseen:
      unseen_until_ = std::max(unseen_until_, f.number);
      if (f.flag)
        unheard_until_ = std::max(unheard_until_, f.number);
      return;
  }
}

void Checker::AttemptCame(const Fact& f) {
  auto at = requests_.find(f.request);
  if (at == requests_.end())
    return breach(Rule::kAnswer, f, f.who, "a leg came for a pull that nobody asked for");
  Request& p = at->second;
  const RequestClassRule& o = limits_.request_classes[static_cast<std::size_t>(p.request_class)];
  Front& front = fronts_[p.front];
  // Drains: as the machine asked, and as the source of a fill.
  for (const std::string* machine : {&f.who, &f.other}) {
    auto notified = front.leaving.find(*machine);
    if (machine->empty() || notified == front.leaving.end() || f.at < unseen_until_)
      continue;
    nearest_.drain_after = std::max(nearest_.drain_after, f.at - notified->second);
    if (f.at > notified->second + limits_.drain_grace + limits_.slack)
      breach(Rule::kDrain, f, p.front,
             (machine == &f.who ? "a leg went to " : "a leg named as its source ") + *machine +
                 " " + Whole(f.at - notified->second) + " after the front was told that it leaves");
  }
  // What the fleet had decided before the cut may be on its way still, and is taken back only after
  // the hold.
  constexpr Ms kDecidedBefore = 2000;
  if (front.parted_in >= 0 && f.at > front.parted_at + kDecidedBefore) {
    auto place = limits_.places.find(f.who.substr(0, f.who.find('+')));
    if (place != limits_.places.end() && place->second.first > 0 &&
        place->second.first != front.parted_in)
      breach(Rule::kNear, f, p.front,
             "cut off from its fleet since " + Whole(f.at - front.parted_at) +
                 ", it sent a leg to " + f.who + " of another zone");
  }
  bool unclear = std::any_of(p.attempts.begin(), p.attempts.end(),
                             [](const Attempt& l) { return l.fate != Fate::kNotRun; });
  if (o.effect == Effect::kExclusive && unclear)
    breach(Rule::kEffect, f, p.front,
           "an exclusive pull got a further leg, at " + f.who + ", though one at " +
               p.attempts.front().machine + " may have run");
  if (o.effect == Effect::kExclusive && p.declined)
    breach(Rule::kEffect, f, p.front,
           "an exclusive pull got a leg, at " + f.who + ", after it was declined");
  if (o.effect == Effect::kIdempotentWithKey && unclear) {
    // A successor, cache-3+1, stands where cache-3 did.
    auto place_of = [&](const std::string& machine) {
      return limits_.places[machine.substr(0, machine.find('+'))];
    };
    auto place = place_of(f.who);
    for (const Attempt& attempt : p.attempts) {
      auto other = place_of(attempt.machine);
      bool same = o.span == Span::kEverywhere ||
                  (o.span == Span::kZone ? place.first == other.first : place == other);
      if (attempt.fate != Fate::kNotRun && !same)
        breach(Rule::kEffect, f, p.front,
               "a ticketed pull that may have run at " + attempt.machine + " went to " + f.who +
                   ", outside the group that drops its repeats");
      else if (attempt.fate != Fate::kNotRun && o.memory > 0 &&
               f.at > attempt.came_at + o.memory + limits_.slack)
        breach(Rule::kEffect, f, p.front,
               "a ticketed pull went out again after the time it is remembered");
    }
  }
  p.attempts.push_back({f.who, f.other, f.at, Fate::kOut, {}, 0});
}

void Checker::AttemptEnded(const Fact& f) {
  auto at = requests_.find(f.request);
  if (at == requests_.end())
    return;
  Request& p = at->second;
  p.quiet_since = f.at;
  for (auto attempt = p.attempts.rbegin(); attempt != p.attempts.rend(); ++attempt) {
    if (attempt->machine != f.who || attempt->fate != Fate::kOut)
      continue;
    bool never =
        f.deed == Deed::kAttemptEnded && (f.word == "none" || f.word == "shed" || f.word == "late");
    attempt->fate = never ? Fate::kNotRun : Fate::kMayHaveRun;
    attempt->tag = f.tag;
    attempt->issued = f.number;
    return;
  }
}

void Checker::Answered(const Fact& f) {
  auto at = requests_.find(f.request);
  if (at == requests_.end())
    return breach(Rule::kAnswer, f, f.who, "an answer came for a pull that has ended");
  Request& p = at->second;
  const RequestClassRule& o = limits_.request_classes[static_cast<std::size_t>(p.request_class)];
  if (p.answered)
    return breach(Rule::kAnswer, f, p.front, "a second answer came");
  p.answered = true;
  nearest_.answer_left = std::min(nearest_.answer_left, p.due - f.at);
  if (f.at > p.due + limits_.slack && f.at > unheard_until_)
    breach(Rule::kAnswer, f, p.front,
           "the answer came " + Whole(f.at - p.due) + " after its client's time");
  bool served = f.status == 200 || f.status == 304;
  if (served) {
    const Attempt* from = nullptr;
    for (const Attempt& attempt : p.attempts)
      if (!attempt.tag.empty() && attempt.tag == f.tag)
        from = &attempt;
    if (!from || !f.flag) {
      breach(Rule::kAnswer, f, p.front, "served with something that no machine made for it");
      return;
    }
    for (const Purge& purge : fronts_[p.front].purges) {
      if (from->issued >= purge.at ||
          (purge.whole_group ? purge.group != p.group : purge.thing != p.thing))
        continue;
      // Any leg that was answered by that tag could have been the one that was sent late; the first
      // is taken.
      Ms sent = from->came_at;
      for (const Attempt& attempt : p.attempts)
        if (attempt.tag == f.tag)
          sent = std::min(sent, attempt.came_at);
      nearest_.purge_after = std::max(nearest_.purge_after, sent - purge.notified);
      if (sent > purge.notified + limits_.purge_grace + limits_.slack)
        breach(Rule::kPurge, f, p.front,
               "answered from a copy " + Whole(purge.at - from->issued) +
                   " older than a purge of its " + (purge.whole_group ? "group" : "object") +
                   "; the leg went out " + Whole(sent - purge.notified) +
                   " after the front was told");
    }
    return;
  }
  p.declined = f.status == 429 || f.status == 503;
  if (!p.declined)
    return;
  bool out = false;
  for (const Attempt& attempt : p.attempts) {
    out |= attempt.fate == Fate::kOut;
    if (o.effect == Effect::kExclusive && attempt.fate != Fate::kNotRun)
      breach(
          Rule::kEffect, f, p.front,
          "an exclusive pull was declined though its leg at " + attempt.machine + " may have run");
  }
  // Where machines have vanished, legs may be out that nobody sees.
  if (out || f.at < unseen_until_)
    return;
  Ms held = f.at - p.quiet_since;
  nearest_.held = std::max(nearest_.held, held);
  if (held > limits_.held_at_most)
    breach(Rule::kHeld, f, p.front,
           "declined " + Whole(held) + " after it came or its last leg had ended");
}

void Checker::Finish(Ms at) {
  Pass(at);
}

}  // namespace dunlinwick::rules

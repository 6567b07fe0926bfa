#include "rules/rules.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace dunlinwick::rules {
namespace {

constexpr std::array<const char*, 15> deeds{"asked",  "answered", "left",       "leg_came",  "leg_ended",
                                            "leg_dropped", "ran", "listed",     "purged",    "pushed_over",
                                            "cold_push",   "front_up", "front_down", "parted", "unseen"};

std::string whole(Ms ms) { return std::to_string(static_cast<long long>(ms + 0.5)) + " ms"; }

}  // namespace

const char* word(Deed deed) { return deeds[static_cast<std::size_t>(deed)]; }

const char* word(Rule rule) {
  static const char* const words[] = {"one final answer, in time", "no effect twice",     "drains kept",
                                      "cold machines not pushed",  "purges kept", "refusals not held back",
                                      "a front alone keeps its zone"};
  return words[static_cast<int>(rule)];
}

std::string line(const Fact& f) {
  char numbers[160];
  std::snprintf(numbers, sizeof numbers, "\t%d\t%d\t%d\t%.3f\t%.3f\t%d", f.offering, f.group, f.status,
                f.number, f.limit, f.flag ? 1 : 0);
  char at[40];
  std::snprintf(at, sizeof at, "%.3f\t", f.at);
  std::string out = std::string(at) + word(f.deed);
  for (const std::string* one : {&f.pull, &f.thing, &f.who, &f.other, &f.word, &f.tag})
    out.append("\t").append(one->empty() ? "-" : *one);
  return out + numbers;
}

std::optional<Fact> readLine(std::string_view text) {
  std::vector<std::string> parts;
  while (true) {
    std::size_t end = text.find('\t');
    parts.emplace_back(text.substr(0, end));
    if (end == text.npos) break;
    text.remove_prefix(end + 1);
  }
  if (parts.size() != 14) return std::nullopt;
  auto number = [](const std::string& t, auto& into) {
    auto [end, fault] = std::from_chars(t.data(), t.data() + t.size(), into);
    return fault == std::errc{} && end == t.data() + t.size();
  };
  Fact f;
  auto deed = std::find(deeds.begin(), deeds.end(), parts[1]);
  int flag = 0;
  if (deed == deeds.end() || !number(parts[0], f.at) || !number(parts[8], f.offering) ||
      !number(parts[9], f.group) || !number(parts[10], f.status) || !number(parts[11], f.number) ||
      !number(parts[12], f.limit) || !number(parts[13], flag))
    return std::nullopt;
  f.deed = static_cast<Deed>(deed - deeds.begin());
  f.flag = flag != 0;
  int at = 2;
  for (std::string* one : {&f.pull, &f.thing, &f.who, &f.other, &f.word, &f.tag}) {
    *one = parts[static_cast<std::size_t>(at++)];
    if (*one == "-") one->clear();
  }
  return f;
}

Checker::Checker(Limits limits) : limits_(std::move(limits)) {}

void Checker::breach(Rule rule, const Fact& f, const std::string& who, std::string what) {
  constexpr std::uint64_t most = 100;
  if (++counts_[static_cast<int>(rule)] <= most) breaches_.push_back({rule, f.at, f.pull, who, std::move(what)});
}

// What was owed by then and has not come; and what is forgotten.
void Checker::pass(Ms time) {
  while (!due_.empty() && due_.begin()->first < time) {
    std::string id = due_.begin()->second;
    Ms due = due_.begin()->first;
    due_.erase(due_.begin());
    auto at = pulls_.find(id);
    if (at == pulls_.end()) continue;
    Pull& p = at->second;
    Front& front = fronts_[p.front];
    if (!p.answered && !p.left && front.up && front.life == p.life && due > unheardUntil_) {
      Fact f;
      f.at = due, f.pull = id;
      breach(Rule::answer, f, p.front,
             "no final answer within the " + whole(p.due - p.askedAt) + " of its client; " +
                 std::to_string(p.legs.size()) + " legs came to machines");
    }
  }
  constexpr Ms kept = 20000;
  while (!old_.empty() && old_.front().first < time - kept) {
    pulls_.erase(old_.front().second);
    old_.pop_front();
  }
}

void Checker::take(const Fact& f) {
  pass(f.at);
  switch (f.deed) {
    case Deed::asked: {
      Pull p;
      p.thing = f.thing, p.front = f.who, p.offering = f.offering, p.group = f.group;
      p.askedAt = p.quietSince = f.at;
      p.due = f.at + f.number;
      // Written towards a front that has died, before its client could know: nobody took it.
      p.life = fronts_[f.who].up ? fronts_[f.who].life : -1;
      due_.insert({p.due + limits_.slack, f.pull});
      old_.push_back({p.due, f.pull});
      pulls_[f.pull] = std::move(p);
      return;
    }
    case Deed::answered:
      return answered(f);
    case Deed::left:
      if (auto at = pulls_.find(f.pull); at != pulls_.end()) at->second.left = true;
      return;
    case Deed::legCame:
      return legCame(f);
    case Deed::legEnded:
    case Deed::legDropped:
      return legEnded(f);
    case Deed::ran: {
      auto at = pulls_.find(f.pull);
      if (at == pulls_.end() ||
          limits_.offerings[static_cast<std::size_t>(at->second.offering)].effect != Effect::exclusive)
        return;
      auto [before, fresh] = effects_.insert({f.thing, f.pull});
      if (!fresh)
        breach(Rule::effect, f, at->second.front,
               "the effect of " + f.thing + " ran again; it had run for pull " + before->second);
      return;
    }
    case Deed::listed: {
      auto& leaving = fronts_[f.who].leaving;
      if (f.word == "ready") leaving.erase(f.other);
      else leaving.insert({f.other, f.at});  // the first word counts
      return;
    }
    case Deed::purged: {
      auto& purges = fronts_[f.who].purges;
      purges.push_back({f.flag, f.thing, f.group, f.number, f.at});
      // No copy older than a purge is left once it is done everywhere and a pull that met it has ended.
      while (purges.front().told < f.at - limits_.purgeDone - 20000) purges.pop_front();
      return;
    }
    case Deed::pushedOver:
      return breach(Rule::cold, f, f.who,
                    "started cold and was sent " + whole(f.number) + " of work in one window, where it bears " +
                        whole(f.limit));
    case Deed::coldPush:
      nearest_.coldShare = std::max(nearest_.coldShare, f.number);
      return;
    case Deed::frontUp: {
      Front& front = fronts_[f.who];
      front.up = true;
      front.leaving.clear(), front.purges.clear();
      return;
    }
    case Deed::frontDown: {
      Front& front = fronts_[f.who];
      front.up = false;
      ++front.life;
      return;
    }
    case Deed::parted: {
      Front& front = fronts_[f.who];
      front.partedIn = f.flag ? f.group : -1, front.partedAt = f.at;
      return;
    }
    case Deed::unseen:
      unseenUntil_ = std::max(unseenUntil_, f.number);
      if (f.flag) unheardUntil_ = std::max(unheardUntil_, f.number);
      return;
  }
}

void Checker::legCame(const Fact& f) {
  auto at = pulls_.find(f.pull);
  if (at == pulls_.end()) return breach(Rule::answer, f, f.who, "a leg came for a pull that nobody asked for");
  Pull& p = at->second;
  const OfferingRule& o = limits_.offerings[static_cast<std::size_t>(p.offering)];
  Front& front = fronts_[p.front];
  // Drains: as the machine asked, and as the source of a fill.
  for (const std::string* machine : {&f.who, &f.other}) {
    auto told = front.leaving.find(*machine);
    if (machine->empty() || told == front.leaving.end() || f.at < unseenUntil_) continue;
    nearest_.drainAfter = std::max(nearest_.drainAfter, f.at - told->second);
    if (f.at > told->second + limits_.drainGrace + limits_.slack)
      breach(Rule::drain, f, p.front,
             (machine == &f.who ? "a leg went to " : "a leg named as its source ") + *machine + " " +
                 whole(f.at - told->second) + " after the front was told that it leaves");
  }
  // What the fleet had decided before the cut may be on its way still, and is taken back only after the hold.
  constexpr Ms decidedBefore = 2000;
  if (front.partedIn >= 0 && f.at > front.partedAt + decidedBefore) {
    auto place = limits_.places.find(f.who.substr(0, f.who.find('+')));
    if (place != limits_.places.end() && place->second.first > 0 && place->second.first != front.partedIn)
      breach(Rule::near, f, p.front, "cut off from its fleet since " + whole(f.at - front.partedAt) + ", it sent a leg to " +
                                         f.who + " of another zone");
  }
  bool unclear = std::any_of(p.legs.begin(), p.legs.end(), [](const Leg& l) { return l.fate != Fate::notRun; });
  if (o.effect == Effect::exclusive && unclear)
    breach(Rule::effect, f, p.front,
           "an exclusive pull got a further leg, at " + f.who + ", though one at " + p.legs.front().machine +
               " may have run");
  if (o.effect == Effect::exclusive && p.declined)
    breach(Rule::effect, f, p.front, "an exclusive pull got a leg, at " + f.who + ", after it was declined");
  if (o.effect == Effect::ticketed && unclear) {
    // A successor, cache-3+1, stands where cache-3 did.
    auto placeOf = [&](const std::string& machine) { return limits_.places[machine.substr(0, machine.find('+'))]; };
    auto place = placeOf(f.who);
    for (const Leg& leg : p.legs) {
      auto other = placeOf(leg.machine);
      bool same = o.span == Span::everywhere || (o.span == Span::zone ? place.first == other.first
                                                                      : place == other);
      if (leg.fate != Fate::notRun && !same)
        breach(Rule::effect, f, p.front,
               "a ticketed pull that may have run at " + leg.machine + " went to " + f.who +
                   ", outside the group that drops its repeats");
      else if (leg.fate != Fate::notRun && o.memory > 0 && f.at > leg.cameAt + o.memory + limits_.slack)
        breach(Rule::effect, f, p.front, "a ticketed pull went out again after the time it is remembered");
    }
  }
  p.legs.push_back({f.who, f.other, f.at, Fate::out, {}, 0});
}

void Checker::legEnded(const Fact& f) {
  auto at = pulls_.find(f.pull);
  if (at == pulls_.end()) return;
  Pull& p = at->second;
  p.quietSince = f.at;
  for (auto leg = p.legs.rbegin(); leg != p.legs.rend(); ++leg) {
    if (leg->machine != f.who || leg->fate != Fate::out) continue;
    bool never = f.deed == Deed::legEnded && (f.word == "none" || f.word == "shed" || f.word == "late");
    leg->fate = never ? Fate::notRun : Fate::mayHaveRun;
    leg->tag = f.tag, leg->issued = f.number;
    return;
  }
}

void Checker::answered(const Fact& f) {
  auto at = pulls_.find(f.pull);
  if (at == pulls_.end()) return breach(Rule::answer, f, f.who, "an answer came for a pull that has ended");
  Pull& p = at->second;
  const OfferingRule& o = limits_.offerings[static_cast<std::size_t>(p.offering)];
  if (p.answered) return breach(Rule::answer, f, p.front, "a second answer came");
  p.answered = true;
  nearest_.answerLeft = std::min(nearest_.answerLeft, p.due - f.at);
  if (f.at > p.due + limits_.slack && f.at > unheardUntil_)
    breach(Rule::answer, f, p.front, "the answer came " + whole(f.at - p.due) + " after its client's time");
  bool served = f.status == 200 || f.status == 304;
  if (served) {
    const Leg* from = nullptr;
    for (const Leg& leg : p.legs)
      if (!leg.tag.empty() && leg.tag == f.tag) from = &leg;
    if (!from || !f.flag) {
      breach(Rule::answer, f, p.front, "served with something that no machine made for it");
      return;
    }
    for (const Purge& purge : fronts_[p.front].purges) {
      if (from->issued >= purge.at || (purge.wholeGroup ? purge.group != p.group : purge.thing != p.thing))
        continue;
      // Any leg that was answered by that tag could have been the one that was sent late; the first is taken.
      Ms sent = from->cameAt;
      for (const Leg& leg : p.legs)
        if (leg.tag == f.tag) sent = std::min(sent, leg.cameAt);
      nearest_.purgeAfter = std::max(nearest_.purgeAfter, sent - purge.told);
      if (sent > purge.told + limits_.purgeGrace + limits_.slack)
        breach(Rule::purge, f, p.front,
               "answered from a copy " + whole(purge.at - from->issued) + " older than a purge of its " +
                   (purge.wholeGroup ? "group" : "object") + "; the leg went out " + whole(sent - purge.told) +
                   " after the front was told");
    }
    return;
  }
  p.declined = f.status == 429 || f.status == 503;
  if (!p.declined) return;
  bool out = false;
  for (const Leg& leg : p.legs) {
    out |= leg.fate == Fate::out;
    if (o.effect == Effect::exclusive && leg.fate != Fate::notRun)
      breach(Rule::effect, f, p.front,
             "an exclusive pull was declined though its leg at " + leg.machine + " may have run");
  }
  // Where machines have vanished, legs may be out that nobody sees.
  if (out || f.at < unseenUntil_) return;
  Ms held = f.at - p.quietSince;
  nearest_.held = std::max(nearest_.held, held);
  if (held > limits_.heldAtMost)
    breach(Rule::held, f, p.front, "declined " + whole(held) + " after it came or its last leg had ended");
}

void Checker::finish(Ms at) { pass(at); }

}  // namespace dunlinwick::rules

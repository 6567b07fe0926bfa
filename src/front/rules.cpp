#include "front/rules.hpp"

#include <algorithm>

#include "log/log.hpp"

namespace dunlinwick::front {

using drift::Form;

struct Rules::Inner {
  loop::Loop& loop;
  RulesTerms terms;
  peers::Id self;
  Fronts fronts;
  Ways ways;
  drift::Drift drift;
  struct Approved {
    drift::Version version = 0;
    drift::Approval approval;
    std::shared_ptr<const Form> form;
    std::uint64_t digest = 0;
  };
  std::map<std::string, Approved> approved;  // by key: as many as the record holds of the stream
  drift::Version mine = 0;                   // the approval for this front
  Ms wakeAt = 0;

  Inner(loop::Loop& l, const RulesTerms& t, peers::Id s, Fronts f, drift::Classes classes, std::uint64_t seed, Ways w)
      : loop(l), terms(t), self(s), fronts(std::move(f)), ways(std::move(w)),
        drift(s, fronts.zoneOf, std::move(classes), t.terms, seed, l.now(), {static_cast<std::uint32_t>(l.now() / 1000), 0}) {}

  const Approved* forFront(peers::Id id) const {
    auto zone = fronts.zoneOf.find(id);
    std::string zoneKey = zone == fronts.zoneOf.end() ? "" : "zone/" + fronts.zones[static_cast<std::size_t>(zone->second)];
    for (const std::string& key : {"front/" + std::to_string(id), zoneKey, std::string("fleet")})
      if (auto at = approved.find(key); at != approved.end()) return &at->second;
    return nullptr;
  }

  // What is active of what the approval names: a field that nobody approved is nobody's drift.
  Form active() const {
    Form all = ways.active();
    const Approved* a = forFront(self);
    if (!a) return all;
    for (auto& [name, section] : all)
      if (auto at = a->form->find(name); at != a->form->end())
        std::erase_if(section, [&](const auto& field) { return !at->second.count(field.first); });
    return all;
  }

  void tellAll() {
    const Approved* a = forFront(self);
    mine = a ? a->version : 0;
    does(drift.handle(loop.now(), drift::Approved{mine, a ? std::optional(a->approval) : std::nullopt}));
    for (const auto& [id, zone] : fronts.zoneOf)
      if (const Approved* one = forFront(id))
        does(drift.handle(loop.now(), drift::ApprovedFor{id, one->version, one->digest, one->approval.holdBy, loop.now(), one->form}));
    does(drift.handle(loop.now(), drift::Active{active()}));
  }

  void does(const std::vector<drift::Action>& actions) {
    for (const drift::Action& a : actions) {
      Ms now = loop.now();
      if (auto* tell = std::get_if<drift::Tell>(&a)) {
        ways.send(tell->to, drift::encode(tell->told));
      } else if (auto* repair = std::get_if<drift::Repair>(&a)) {
        log::say("rules repair %u version %llu token %llu at %.0f", repair->front, static_cast<unsigned long long>(repair->version),
                 static_cast<unsigned long long>(repair->token), now);
        if (repair->front == self) does(drift.repairAsked(now, self, *repair));
        else ways.send(repair->front, drift::encode(*repair));
      } else if (auto* take = std::get_if<drift::TakeUp>(&a)) {
        std::string why = ways.takeUp(take->form);
        if (why.empty()) log::say("rules taken up %llu at %.0f", static_cast<unsigned long long>(take->version), now);
        else log::say("rules can't take up %llu: %s at %.0f", static_cast<unsigned long long>(take->version), why.c_str(), now);
        does(drift.handle(now, drift::Active{active()}));
      } else if (auto* found = std::get_if<drift::Found>(&a)) {
        std::string fields;
        for (const drift::Difference& d : found->fields)
          fields += " " + d.field.section + "." + d.field.name + " " + d.active + " for " + d.approved;
        log::say("rules found %u %s%s since %.0f at %.0f", found->front, drift::word(found->standing), fields.c_str(), found->since, now);
      } else if (auto* may = std::get_if<drift::MayServe>(&a)) {
        log::say("rules: this front %s at %.0f", may->may ? "may serve" : "may not serve what can break a rule", now);
        ways.serves(may->may);
      } else if (auto* aside = std::get_if<drift::SetAside>(&a)) {
        log::say("rules %s %u: %s at %.0f", aside->on ? "set aside" : "takes back", aside->front, aside->why.c_str(), now);
        if (aside->front == self) ways.aside(aside->on);
      } else if (auto* stopped = std::get_if<drift::Stopped>(&a)) {
        log::say("rules stopped: %s at %.0f", stopped->why.c_str(), now);
      }
    }
  }
};

Rules::Rules(loop::Loop& loop, const RulesTerms& terms, peers::Id self, Fronts fronts, drift::Classes classes, std::uint64_t seed, Ways ways)
    : inner_(std::make_unique<Inner>(loop, terms, self, std::move(fronts), std::move(classes), seed, std::move(ways))) {}
Rules::~Rules() = default;

void Rules::heard(peers::Id from, std::span<const char> message) {
  Ms now = inner_->loop.now();
  if (auto told = drift::decodeTold(message)) inner_->does(inner_->drift.handle(now, drift::Hears{from, *told}));
  else if (auto repair = drift::decodeRepair(message)) inner_->does(inner_->drift.repairAsked(now, from, *repair));
}

void Rules::told(std::uint64_t offset, const std::string& key, bool tombstone, const std::string& value) {
  Inner& in = *inner_;
  if (tombstone) {
    in.approved.erase(key);
  } else if (auto a = drift::decodeApproval(value)) {
    auto form = std::make_shared<const Form>(a->form);
    std::uint64_t digest = drift::digest(*form);
    log::say("rules approved %llu for %s by %s digest %016llx at %.0f", static_cast<unsigned long long>(offset), key.c_str(), a->by.c_str(),
             static_cast<unsigned long long>(digest), in.loop.now());
    in.approved[key] = {offset, std::move(*a), std::move(form), digest};
  }
  in.tellAll();
}

void Rules::startOver() {
  inner_->approved.clear();
  inner_->tellAll();
}

std::string Rules::refuses(const std::string& key, const std::string& value) const {
  bool known = key == "fleet";
  for (const std::string& z : inner_->fronts.zones) known |= key == "zone/" + z;
  for (const auto& [id, zone] : inner_->fronts.zoneOf) known |= key == "front/" + std::to_string(id);
  if (!known) return "a key of fleet, zone/NAME or front/ID wanted, of this fleet";
  auto a = drift::decodeApproval(value);
  if (!a) return "it is no approval";
  auto at = inner_->approved.find(key);
  return drift::refused(*a, at == inner_->approved.end() ? 0 : at->second.version, inner_->terms.wantsSecond);
}

void Rules::wake() {
  Inner& in = *inner_;
  Ms now = in.loop.now();
  auto [token, may] = in.ways.owns();
  in.does(in.drift.handle(now, drift::Owns{may ? token : 0}));
  in.does(in.drift.handle(now, in.ways.pulls()));
  in.does(in.drift.handle(now, drift::Active{in.active()}));
  in.does(in.drift.handle(now, drift::Tick{}));
  constexpr Ms longest = 200, least = 20;
  in.wakeAt = std::max(now + least, std::min(in.drift.wakeAt(), now + longest));
}
Ms Rules::wakeAt() const { return inner_->wakeAt; }

bool Rules::on() const { return inner_->mine != 0; }
bool Rules::inStep() const {
  const Inner::Approved* a = inner_->forFront(inner_->self);
  return !a || drift::differences(inner_->active(), *a->form, {}).empty();
}
drift::Version Rules::version() const { return inner_->mine; }
std::uint64_t Rules::digest() const {
  const Inner::Approved* a = inner_->forFront(inner_->self);
  return a ? a->digest : 0;
}

std::string Rules::view() const {
  const Inner& in = *inner_;
  std::string s = "{\"version\":" + std::to_string(in.mine) + ",\"in_step\":" + (inStep() ? "true" : "false") + ",\"may_serve\":" +
                  (in.drift.mayServe() ? "true" : "false") + ",\"stopped\":" + (in.drift.stopped() ? "true" : "false") + ",\"fronts\":[";
  bool first = true;
  for (const auto& [id, row] : in.drift.rows()) {
    s += std::string(first ? "" : ",") + "{\"id\":" + std::to_string(id) + ",\"standing\":\"" + drift::word(row.standing) + "\",\"since_ms\":" +
         (row.since > 0 ? std::to_string(static_cast<long long>(in.loop.now() - row.since)) : "null") + ",\"version\":" + std::to_string(row.version) + ",\"aside\":" +
         (row.aside ? "true" : "false") + ",\"fields\":" + std::to_string(row.fields.size()) + "}";
    first = false;
  }
  s += "],\"approved\":{";
  first = true;
  for (const auto& [key, a] : in.approved) {
    s += std::string(first ? "" : ",") + "\"" + key + "\":" + std::to_string(a.version);
    first = false;
  }
  return s + "}}";
}

}  // namespace dunlinwick::front

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
  Ms wake_at = 0;

  Inner(loop::Loop& l, const RulesTerms& t, peers::Id s, Fronts f, drift::Classes classes,
        std::uint64_t seed, Ways w)
      : loop(l),
        terms(t),
        self(s),
        fronts(std::move(f)),
        ways(std::move(w)),
        drift(s, fronts.zone_of, std::move(classes), t.terms, seed, l.now(),
              {static_cast<std::uint32_t>(l.now() / 1000), 0}) {}

  const Approved* ForFront(peers::Id id) const {
    auto zone = fronts.zone_of.find(id);
    std::string zone_key = zone == fronts.zone_of.end()
                               ? ""
                               : "zone/" + fronts.zones[static_cast<std::size_t>(zone->second)];
    for (const std::string& key : {"front/" + std::to_string(id), zone_key, std::string("fleet")})
      if (auto at = approved.find(key); at != approved.end())
        return &at->second;
    return nullptr;
  }

  // What is active of what the approval names: a field that nobody approved is nobody's drift.
  Form active() const {
    Form all = ways.active();
    const Approved* a = ForFront(self);
    if (!a)
      return all;
    for (auto& [name, section] : all)
      if (auto at = a->form->find(name); at != a->form->end())
        std::erase_if(section, [&](const auto& field) { return !at->second.count(field.first); });
    return all;
  }

  void TellAll() {
    const Approved* a = ForFront(self);
    mine = a ? a->version : 0;
    Does(drift.Handle(loop.now(),
                      drift::Approved{mine, a ? std::optional(a->approval) : std::nullopt}));
    for (const auto& [id, zone] : fronts.zone_of)
      if (const Approved* one = ForFront(id))
        Does(drift.Handle(loop.now(),
                          drift::ApprovedFor{id, one->version, one->digest, one->approval.hold_by,
                                             loop.now(), one->form}));
    Does(drift.Handle(loop.now(), drift::Active{active()}));
  }

  void Does(const std::vector<drift::Action>& actions) {
    for (const drift::Action& a : actions) {
      Ms now = loop.now();
      if (auto* tell = std::get_if<drift::Tell>(&a)) {
        ways.send(tell->to, drift::Encode(tell->notified));
      } else if (auto* repair = std::get_if<drift::Repair>(&a)) {
        log::Write("rules repair %u version %llu token %llu at %.0f", repair->front,
                   static_cast<unsigned long long>(repair->version),
                   static_cast<unsigned long long>(repair->token), now);
        if (repair->front == self)
          Does(drift.RepairAsked(now, self, *repair));
        else
          ways.send(repair->front, drift::Encode(*repair));
      } else if (auto* take = std::get_if<drift::TakeUp>(&a)) {
        std::string why = ways.take_up(take->form);
        if (why.empty())
          log::Write("rules taken up %llu at %.0f", static_cast<unsigned long long>(take->version),
                     now);
        else
          log::Write("rules can't take up %llu: %s at %.0f",
                     static_cast<unsigned long long>(take->version), why.c_str(), now);
        Does(drift.Handle(now, drift::Active{active()}));
      } else if (auto* found = std::get_if<drift::Found>(&a)) {
        std::string fields;
        for (const drift::Difference& d : found->fields)
          fields +=
              " " + d.field.section + "." + d.field.name + " " + d.active + " for " + d.approved;
        log::Write("rules found %u %s%s since %.0f at %.0f", found->front,
                   drift::ToString(found->standing), fields.c_str(), found->since, now);
      } else if (auto* may = std::get_if<drift::MayServe>(&a)) {
        log::Write("rules: this front %s at %.0f",
                   may->may ? "may serve" : "may not serve what can break a rule", now);
        ways.serves(may->may);
      } else if (auto* ejected = std::get_if<drift::SetEjected>(&a)) {
        log::Write("rules %s %u: %s at %.0f", ejected->on ? "set aside" : "takes back",
                   ejected->front, ejected->why.c_str(), now);
        if (ejected->front == self)
          ways.ejected(ejected->on);
      } else if (auto* stopped = std::get_if<drift::Stopped>(&a)) {
        log::Write("rules stopped: %s at %.0f", stopped->why.c_str(), now);
      }
    }
  }
};

Rules::Rules(loop::Loop& loop, const RulesTerms& terms, peers::Id self, Fronts fronts,
             drift::Classes classes, std::uint64_t seed, Ways ways)
    : inner_(std::make_unique<Inner>(loop, terms, self, std::move(fronts), std::move(classes), seed,
                                     std::move(ways))) {}
Rules::~Rules() = default;

void Rules::Heard(peers::Id from, std::span<const char> message) {
  Ms now = inner_->loop.now();
  if (auto notified = drift::DecodeNotified(message))
    inner_->Does(inner_->drift.Handle(now, drift::Hears{from, *notified}));
  else if (auto repair = drift::DecodeRepair(message))
    inner_->Does(inner_->drift.RepairAsked(now, from, *repair));
}

void Rules::notified(std::uint64_t offset, const std::string& key, bool tombstone,
                     const std::string& value) {
  Inner& in = *inner_;
  if (tombstone) {
    in.approved.erase(key);
  } else if (auto a = drift::DecodeApproval(value)) {
    auto form = std::make_shared<const Form>(a->form);
    std::uint64_t digest = drift::Digest(*form);
    log::Write("rules approved %llu for %s by %s digest %016llx at %.0f",
               static_cast<unsigned long long>(offset), key.c_str(), a->by.c_str(),
               static_cast<unsigned long long>(digest), in.loop.now());
    in.approved[key] = {offset, std::move(*a), std::move(form), digest};
  }
  in.TellAll();
}

void Rules::StartOver() {
  inner_->approved.clear();
  inner_->TellAll();
}

std::string Rules::Refuses(const std::string& key, const std::string& value) const {
  bool known = key == "fleet";
  for (const std::string& z : inner_->fronts.zones)
    known |= key == "zone/" + z;
  for (const auto& [id, zone] : inner_->fronts.zone_of)
    known |= key == "front/" + std::to_string(id);
  if (!known)
    return "a key of fleet, zone/NAME or front/ID wanted, of this fleet";
  auto a = drift::DecodeApproval(value);
  if (!a)
    return "it is no approval";
  auto at = inner_->approved.find(key);
  return drift::Refused(*a, at == inner_->approved.end() ? 0 : at->second.version,
                        inner_->terms.wants_second);
}

void Rules::Wake() {
  Inner& in = *inner_;
  Ms now = in.loop.now();
  auto [token, may] = in.ways.owns();
  in.Does(in.drift.Handle(now, drift::Owns{may ? token : 0}));
  in.Does(in.drift.Handle(now, in.ways.requests()));
  in.Does(in.drift.Handle(now, drift::Active{in.active()}));
  in.Does(in.drift.Handle(now, drift::Tick{}));
  constexpr Ms kLongest = 200, kLeast = 20;
  in.wake_at = std::max(now + kLeast, std::min(in.drift.WakeAt(), now + kLongest));
}
Ms Rules::WakeAt() const {
  return inner_->wake_at;
}

bool Rules::enabled() const {
  return inner_->mine != 0;
}
bool Rules::InStep() const {
  const Inner::Approved* a = inner_->ForFront(inner_->self);
  return !a || drift::Differences(inner_->active(), *a->form, {}).empty();
}
drift::Version Rules::version() const {
  return inner_->mine;
}
std::uint64_t Rules::Digest() const {
  const Inner::Approved* a = inner_->ForFront(inner_->self);
  return a ? a->digest : 0;
}

std::string Rules::view() const {
  const Inner& in = *inner_;
  std::string s = "{\"version\":" + std::to_string(in.mine) +
                  ",\"in_step\":" + (InStep() ? "true" : "false") +
                  ",\"may_serve\":" + (in.drift.may_serve() ? "true" : "false") +
                  ",\"stopped\":" + (in.drift.stopped() ? "true" : "false") + ",\"fronts\":[";
  bool first = true;
  for (const auto& [id, row] : in.drift.Rows()) {
    s += std::string(first ? "" : ",") + "{\"id\":" + std::to_string(id) + ",\"standing\":\"" +
         drift::ToString(row.standing) + "\",\"since_ms\":" +
         (row.since > 0 ? std::to_string(static_cast<long long>(in.loop.now() - row.since))
                        : "null") +
         ",\"version\":" + std::to_string(row.version) +
         ",\"aside\":" + (row.ejected ? "true" : "false") +
         ",\"fields\":" + std::to_string(row.fields.size()) + "}";
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

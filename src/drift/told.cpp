#include <algorithm>
#include <cmath>

#include "drift/wire.hpp"

namespace dunlinwick::drift {

namespace {

constexpr std::size_t kMostValue = 64, kMostOpened = 4, kMostWants = 8, kMostAsides = 32;

bool Share(double v) {
  return std::isfinite(v) && v >= 0 && v <= 1;
}

bool Empty(const ActiveReport::Ballot& b) {
  return b.token == 0 && b.voters.empty() && b.withdrawn.empty();
}
void Put(const ActiveReport::Ballot& from, proto::drift::Ballot& to) {
  to.set_token(from.token);
  to.set_voters(from.voters);
  to.set_withdrawn(from.withdrawn);
}
bool Fits(const proto::drift::Ballot& b) {
  return b.voters().size() <= kMostFronts / 8 && b.withdrawn().size() <= kMostFronts / 8;
}
ActiveReport::Ballot Read(const proto::drift::Ballot& b) {
  return {b.token(), b.voters(), b.withdrawn()};
}

}  // namespace

std::string Encode(const ActiveReport& t) {
  proto::drift::Message whole;
  auto& m = *whole.mutable_told();
  m.set_version(t.version);
  m.set_active(t.active);
  m.set_approved(t.approved);
  m.set_ask(t.ask);
  m.set_abandoned(t.abandoned);
  m.set_declined(t.declined);
  m.set_seq(t.seq);
  m.set_changed(t.changed);
  m.set_token(t.token);
  m.set_stopped_at(t.stopped_at);
  for (const auto& [name, d] : t.sections) {
    auto* s = m.add_sections();
    s->set_name(name);
    s->set_digest(d);
  }
  for (const std::string& w : t.wants)
    m.add_wants(w);
  Put(t.opened, *m.mutable_opened());
  for (const auto& o : t.others) {
    auto* r = m.add_others();
    r->set_who(o.who);
    r->set_seq(o.seq);
    r->set_version(o.version);
    r->set_active(o.active);
    r->set_approved(o.approved);
    r->set_changed(o.changed);
  }
  for (const auto& c : t.cases) {
    auto* r = m.add_cases();
    r->set_who(c.who);
    r->set_standing(c.standing);
    r->set_changed(c.changed);
    r->set_wanted(c.wanted);
    r->set_span(c.span);
    if (!Empty(c.newest))
      Put(c.newest, *r->mutable_newest());
    if (!Empty(c.before))
      Put(c.before, *r->mutable_before());
    for (std::size_t i = 0; i < std::min(c.fields.size(), kMostOpened); ++i) {
      auto* f = r->add_fields();
      f->set_section(c.fields[i].field.section.substr(0, kMostValue));
      f->set_name(c.fields[i].field.name.substr(0, kMostValue));
      f->set_active(c.fields[i].active.substr(0, kMostValue));
      f->set_approved(c.fields[i].approved.substr(0, kMostValue));
      f->set_breaks(static_cast<std::uint32_t>(c.fields[i].breaks));
    }
  }
  for (const auto& a : t.asides) {
    auto* r = m.add_asides();
    r->set_who(a.who);
    r->set_token(a.token);
    r->set_count(a.count);
    r->set_on(a.on);
  }
  return whole.SerializeAsString();
}

std::optional<ActiveReport> DecodeNotified(std::span<const char> bytes) {
  proto::drift::Message whole;
  if (!whole.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || !whole.has_told())
    return {};
  const auto& m = whole.told();
  auto over = [](int n, std::size_t most) {
    return static_cast<std::size_t>(n) > most;
  };
  if (over(m.sections_size(), kMostSections) || over(m.wants_size(), kMostWants) ||
      over(m.others_size(), kMostOthers) || over(m.cases_size(), kMostCases) ||
      over(m.asides_size(), kMostAsides))
    return {};
  if (!Share(m.abandoned()) || !Share(m.declined()) || m.changed() > m.seq())
    return {};
  ActiveReport t;
  t.version = m.version();
  t.active = m.active();
  t.approved = m.approved();
  t.ask = m.ask();
  t.abandoned = m.abandoned();
  t.declined = m.declined();
  t.seq = m.seq();
  t.changed = m.changed();
  t.token = m.token();
  t.stopped_at = m.stopped_at();
  for (const auto& s : m.sections()) {
    if (s.name().size() > kMostText)
      return {};
    t.sections[s.name()] = s.digest();
  }
  for (const auto& w : m.wants()) {
    if (w.size() > kMostText)
      return {};
    t.wants.push_back(w);
  }
  auto opened = Read(m.opened());
  if (!opened)
    return {};
  t.opened = std::move(*opened);
  for (const auto& o : m.others()) {
    if (o.changed() > o.seq())
      return {};
    t.others.push_back({o.who(), o.seq(), o.version(), o.active(), o.approved(), o.changed()});
  }
  for (const auto& c : m.cases()) {
    if (c.standing() > static_cast<std::uint32_t>(Standing::kForked) ||
        !Bad(static_cast<Standing>(c.standing())))
      return {};
    if (!Fits(c.newest()) || !Fits(c.before()) || over(c.fields_size(), kMostOpened))
      return {};
    ActiveReport::Case k{c.who(),          static_cast<std::uint8_t>(c.standing()),
                         c.changed(),      c.wanted(),
                         c.span(),         Read(c.newest()),
                         Read(c.before()), {}};
    for (const auto& f : c.fields()) {
      if (f.breaks() > 2 || f.section().size() > kMostValue || f.name().size() > kMostValue ||
          f.active().size() > kMostValue || f.approved().size() > kMostValue)
        return {};
      k.fields.push_back(
          {{f.section(), f.name()}, f.active(), f.approved(), static_cast<Breaks>(f.breaks())});
    }
    t.cases.push_back(std::move(k));
  }
  for (const auto& a : m.asides())
    t.asides.push_back({a.who(), a.token(), a.count(), a.on()});
  return t;
}

std::string Encode(const Repair& r) {
  proto::drift::Message whole;
  auto& m = *whole.mutable_repair();
  m.set_front(r.front);
  m.set_token(r.token);
  m.set_version(r.version);
  m.set_changed(r.changed);
  return whole.SerializeAsString();
}

std::optional<Repair> DecodeRepair(std::span<const char> bytes) {
  proto::drift::Message whole;
  if (!whole.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || !whole.has_repair())
    return {};
  return Repair{whole.repair().front(), whole.repair().token(), whole.repair().version(),
                whole.repair().changed()};
}

}  // namespace dunlinwick::drift

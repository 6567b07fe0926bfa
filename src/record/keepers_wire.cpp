// The keepers' messages as Protobuf: nothing that is out of bounds comes in.
#include <cmath>

#include "record.pb.h"
#include "record/keepers.hpp"

namespace dunlinwick::record {

namespace {

namespace wire = dunlinwick::proto::record;
constexpr int kMostListed = 4096;  // entries, holes, keepers in one message

template <class List>
void PutEntries(List* list, const std::vector<Entry>& entries) {
  for (const Entry& e : entries) {
    auto* w = list->Add();
    w->set_offset(e.offset);
    w->set_token(e.token);
    w->set_stream(static_cast<std::uint32_t>(e.stream));
    w->set_key(e.key);
    w->set_tombstone(e.tombstone);
    w->set_value(e.value);
    w->set_at(e.at);
  }
}
template <class List>
bool GetEntries(const List& list, std::vector<Entry>& out) {
  if (list.size() > kMostListed)
    return false;
  Offset before = 0;
  for (const auto& w : list) {
    if (w.stream() >= kStreams || w.key().empty() || w.key().size() > kLongestKey ||
        w.value().size() > kLongestValue || w.offset() <= before ||
        (w.tombstone() && !w.value().empty()) || !std::isfinite(w.at()))
      return false;
    before = w.offset();
    out.push_back({w.offset(), w.token(), static_cast<Stream>(w.stream()), w.key(), w.tombstone(),
                   w.value(), w.at()});
  }
  return true;
}
template <class List>
void PutHeld(List* list, const std::vector<std::pair<Id, Offset>>& held) {
  for (auto [id, upTo] : held) {
    auto* w = list->Add();
    w->set_keeper(id);
    w->set_up_to(upTo);
  }
}
template <class List>
bool GetHeld(const List& list, std::vector<std::pair<Id, Offset>>& out) {
  if (list.size() > kMostListed)
    return false;
  for (const auto& w : list)
    out.emplace_back(w.keeper(), w.up_to());
  return true;
}
template <class List>
bool GetOffsets(const List& list, std::vector<Offset>& out) {
  if (list.size() > kMostListed)
    return false;
  out.assign(list.begin(), list.end());
  return true;
}
void PutPlan(wire::Plan* w, const Plan& p) {
  w->set_token(p.token);
  w->set_up_to(p.up_to);
  w->set_forget(p.forget);
}
Plan GetPlan(const wire::Plan& w) {
  return {w.token(), w.up_to(), w.forget()};
}

void fill(wire::Message& out, const Seek& m) {
  auto* w = out.mutable_seek();
  w->set_token(m.token);
  w->set_round(m.round);
}
void fill(wire::Message& out, const Tail& m) {
  auto* w = out.mutable_tail();
  w->set_token(m.token);
  w->set_store(m.store);
  w->set_starts(m.starts);
  w->set_round(m.round);
  w->set_life(m.life);
  w->set_doubted(m.doubted);
  w->set_unproved(m.unproved);
  w->set_last(m.last);
  w->set_committed(m.committed);
  w->set_first(m.first);
  w->set_cleaned(m.cleaned);
  w->set_forgotten(m.forgotten);
  w->set_last_token(m.last_token);
  w->set_spoilt(m.corrupted);
  PutHeld(w->mutable_seen(), m.seen);
  for (Offset o : m.holes)
    w->add_holes(o);
}
void fill(wire::Message& out, const Append& m) {
  auto* w = out.mutable_append();
  w->set_token(m.token);
  w->set_life(m.life);
  w->set_after(m.after);
  w->set_after_token(m.after_token);
  w->set_committed(m.committed);
  w->set_anew(m.anew);
  w->set_proves(m.proves);
  w->set_cleaned(m.cleaned);
  w->set_forgotten(m.forgotten);
  w->set_passed(m.passed);
  w->set_session(m.session);
  w->set_spoilt(m.corrupted);
  PutEntries(w->mutable_entries(), m.entries);
  PutHeld(w->mutable_held(), m.held);
  if (m.plan.up_to != 0)
    PutPlan(w->mutable_plan(), m.plan);
}
void fill(wire::Message& out, const Kept& m) {
  auto* w = out.mutable_kept();
  w->set_token(m.token);
  w->set_life(m.life);
  w->set_up_to(m.up_to);
  w->set_refused(m.refused);
  w->set_full(m.full);
  w->set_unsought(m.unsought);
  w->set_stranded(m.stranded);
  w->set_partial(m.partial);
  w->set_last(m.last);
  w->set_hint(m.hint);
  for (Offset o : m.holes)
    w->add_holes(o);
  if (m.plan.up_to != 0)
    PutPlan(w->mutable_plan(), m.plan);
}
void fill(wire::Message& out, const Fetch& m) {
  auto* w = out.mutable_fetch();
  w->set_after(m.after);
  w->set_up_to(m.up_to);
  for (Offset o : m.only)
    w->add_only(o);
}
void fill(wire::Message& out, const Fetched& m) {
  auto* w = out.mutable_fetched();
  w->set_after(m.after);
  w->set_up_to(m.up_to);
  w->set_after_token(m.after_token);
  w->set_committed(m.committed);
  w->set_cleaned(m.cleaned);
  w->set_forgotten(m.forgotten);
  for (Offset o : m.only)
    w->add_only(o);
  PutEntries(w->mutable_entries(), m.entries);
}

}  // namespace

std::string Encode(const Message& m) {
  wire::Message out;
  std::visit([&](const auto& one) { fill(out, one); }, m);
  return out.SerializeAsString();
}

std::optional<Message> Decode(std::span<const char> bytes) {
  wire::Message in;
  if (bytes.size() > (1u << 22) || !in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  switch (in.kind_case()) {
    case wire::Message::kSeek:
      return Seek{in.seek().token(), in.seek().round()};
    case wire::Message::kTail: {
      const auto& w = in.tail();
      Tail m;
      m.token = w.token();
      m.store = w.store();
      m.starts = w.starts();
      m.round = w.round();
      m.life = w.life();
      m.doubted = w.doubted();
      m.unproved = w.unproved();
      m.last = w.last();
      m.committed = w.committed();
      m.first = w.first();
      m.cleaned = w.cleaned();
      m.forgotten = w.forgotten();
      m.last_token = w.last_token();
      m.corrupted = w.spoilt();
      if (!GetHeld(w.seen(), m.seen) || !GetOffsets(w.holes(), m.holes))
        return std::nullopt;
      return m;
    }
    case wire::Message::kAppend: {
      const auto& w = in.append();
      Append m;
      m.token = w.token();
      m.life = w.life();
      m.after = w.after();
      m.after_token = w.after_token();
      m.committed = w.committed();
      m.anew = w.anew();
      m.proves = w.proves();
      m.cleaned = w.cleaned();
      m.forgotten = w.forgotten();
      m.passed = w.passed();
      m.session = w.session();
      m.corrupted = w.spoilt();
      if (w.has_plan())
        m.plan = GetPlan(w.plan());
      if (!GetEntries(w.entries(), m.entries) || !GetHeld(w.held(), m.held))
        return std::nullopt;
      if (!m.entries.empty() && m.entries.front().offset <= m.after)
        return std::nullopt;
      return m;
    }
    case wire::Message::kKept: {
      const auto& w = in.kept();
      Kept m;
      m.token = w.token();
      m.life = w.life();
      m.up_to = w.up_to();
      m.refused = w.refused();
      m.full = w.full();
      m.unsought = w.unsought();
      m.partial = w.partial();
      m.stranded = w.stranded();
      m.last = w.last();
      m.hint = w.hint();
      if (w.has_plan())
        m.plan = GetPlan(w.plan());
      if (!GetOffsets(w.holes(), m.holes))
        return std::nullopt;
      return m;
    }
    case wire::Message::kFetch: {
      Fetch m{in.fetch().after(), in.fetch().up_to(), {}};
      if (!GetOffsets(in.fetch().only(), m.only))
        return std::nullopt;
      return m;
    }
    case wire::Message::kFetched: {
      const auto& w = in.fetched();
      Fetched m;
      m.after = w.after();
      m.up_to = w.up_to();
      m.after_token = w.after_token();
      m.committed = w.committed();
      m.cleaned = w.cleaned();
      m.forgotten = w.forgotten();
      if (!GetEntries(w.entries(), m.entries) || !GetOffsets(w.only(), m.only))
        return std::nullopt;
      return m;
    }
    default:
      return std::nullopt;
  }
}

}  // namespace dunlinwick::record

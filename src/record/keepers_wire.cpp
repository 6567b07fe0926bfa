// Conversion of the replication messages to and from Protobuf (proto/record.proto), where they have
// other names: PrepareRequest is Seek, PrepareResponse is Tail, AppendRequest is Append,
// AppendResponse is Kept, FetchRequest is Fetch and FetchResponse is Fetched. Messages that exceed
// a bound are rejected.
#include <cmath>

#include "record.pb.h"
#include "record/keepers.hpp"

namespace dunlinwick::record {

namespace {

namespace wire = dunlinwick::proto::record;
constexpr int kMaxListLength = 4096;  // entries, gaps or replicas in one message

template <class List>
void EntriesToProto(List* list, const std::vector<Entry>& entries) {
  for (const Entry& e : entries) {
    auto* w = list->Add();
    w->set_offset(e.offset);
    w->set_token(e.token);
    w->set_stream(static_cast<std::uint32_t>(e.stream));
    w->set_key(e.key);
    w->set_tombstone(e.tombstone);
    w->set_value(e.value);
    w->set_at(e.written_at);
  }
}
template <class List>
bool EntriesFromProto(const List& list, std::vector<Entry>& out) {
  if (list.size() > kMaxListLength)
    return false;
  Offset previous = 0;
  for (const auto& w : list) {
    if (w.stream() >= kStreamCount || w.key().empty() || w.key().size() > kMaxKeyBytes ||
        w.value().size() > kMaxValueBytes || w.offset() <= previous ||
        (w.tombstone() && !w.value().empty()) || !std::isfinite(w.at()))
      return false;
    previous = w.offset();
    out.push_back({w.offset(), w.token(), static_cast<Stream>(w.stream()), w.key(), w.tombstone(),
                   w.value(), w.at()});
  }
  return true;
}
template <class List>
void OffsetsByReplicaToProto(List* list, const std::vector<std::pair<Id, Offset>>& offsets) {
  for (auto [id, up_to] : offsets) {
    auto* w = list->Add();
    w->set_keeper(id);
    w->set_up_to(up_to);
  }
}
template <class List>
bool OffsetsByReplicaFromProto(const List& list, std::vector<std::pair<Id, Offset>>& out) {
  if (list.size() > kMaxListLength)
    return false;
  for (const auto& w : list)
    out.emplace_back(w.keeper(), w.up_to());
  return true;
}
template <class List>
bool OffsetsFromProto(const List& list, std::vector<Offset>& out) {
  if (list.size() > kMaxListLength)
    return false;
  out.assign(list.begin(), list.end());
  return true;
}
void PlanToProto(wire::Plan* w, const CompactionPlan& p) {
  w->set_token(p.token);
  w->set_up_to(p.up_to);
  w->set_forget(p.remove_tombstones_up_to);
}
CompactionPlan PlanFromProto(const wire::Plan& w) {
  return {w.token(), w.up_to(), w.forget()};
}

void FillProto(wire::Message& out, const PrepareRequest& m) {
  auto* w = out.mutable_seek();
  w->set_token(m.token);
  w->set_round(m.round);
}
void FillProto(wire::Message& out, const PrepareResponse& m) {
  auto* w = out.mutable_tail();
  w->set_token(m.token);
  w->set_store(m.store_id);
  w->set_starts(m.start_count);
  w->set_round(m.round);
  w->set_life(m.incarnation);
  w->set_doubted(m.unconfirmed);
  w->set_unproved(m.unconfirmed_on_disk);
  w->set_last(m.last);
  w->set_committed(m.committed);
  w->set_first(m.first);
  w->set_cleaned(m.compacted_up_to);
  w->set_forgotten(m.tombstone_horizon);
  w->set_last_token(m.last_token);
  w->set_spoilt(m.corrupted);
  OffsetsByReplicaToProto(w->mutable_seen(), m.witnessed);
  for (Offset o : m.gaps)
    w->add_holes(o);
}
void FillProto(wire::Message& out, const AppendRequest& m) {
  auto* w = out.mutable_append();
  w->set_token(m.token);
  w->set_life(m.incarnation);
  w->set_after(m.after);
  w->set_after_token(m.after_token);
  w->set_committed(m.committed);
  w->set_anew(m.from_snapshot);
  w->set_proves(m.confirms);
  w->set_cleaned(m.compacted_up_to);
  w->set_forgotten(m.tombstone_horizon);
  w->set_passed(m.min_subscriber_position);
  w->set_session(m.snapshot_session);
  w->set_spoilt(m.corrupted);
  EntriesToProto(w->mutable_entries(), m.entries);
  OffsetsByReplicaToProto(w->mutable_held(), m.match_offsets);
  if (m.plan.up_to != 0)
    PlanToProto(w->mutable_plan(), m.plan);
}
void FillProto(wire::Message& out, const AppendResponse& m) {
  auto* w = out.mutable_kept();
  w->set_token(m.token);
  w->set_life(m.incarnation);
  w->set_up_to(m.up_to);
  w->set_refused(m.refused);
  w->set_full(m.full);
  w->set_unsought(m.unknown_incarnation);
  w->set_stranded(m.needs_reset);
  w->set_partial(m.incomplete);
  w->set_last(m.last);
  w->set_hint(m.resume_after);
  for (Offset o : m.gaps)
    w->add_holes(o);
  if (m.plan.up_to != 0)
    PlanToProto(w->mutable_plan(), m.plan);
}
void FillProto(wire::Message& out, const FetchRequest& m) {
  auto* w = out.mutable_fetch();
  w->set_after(m.after);
  w->set_up_to(m.up_to);
  for (Offset o : m.offsets)
    w->add_only(o);
}
void FillProto(wire::Message& out, const FetchResponse& m) {
  auto* w = out.mutable_fetched();
  w->set_after(m.after);
  w->set_up_to(m.up_to);
  w->set_after_token(m.after_token);
  w->set_committed(m.committed);
  w->set_cleaned(m.compacted_up_to);
  w->set_forgotten(m.tombstone_horizon);
  for (Offset o : m.offsets)
    w->add_only(o);
  EntriesToProto(w->mutable_entries(), m.entries);
}

}  // namespace

std::string Encode(const Message& m) {
  wire::Message out;
  std::visit([&](const auto& message) { FillProto(out, message); }, m);
  return out.SerializeAsString();
}

std::optional<Message> Decode(std::span<const char> bytes) {
  wire::Message message;
  if (bytes.size() > (1u << 22) ||
      !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  switch (message.kind_case()) {
    case wire::Message::kSeek:
      return PrepareRequest{message.seek().token(), message.seek().round()};
    case wire::Message::kTail: {
      const auto& w = message.tail();
      PrepareResponse m;
      m.token = w.token();
      m.store_id = w.store();
      m.start_count = w.starts();
      m.round = w.round();
      m.incarnation = w.life();
      m.unconfirmed = w.doubted();
      m.unconfirmed_on_disk = w.unproved();
      m.last = w.last();
      m.committed = w.committed();
      m.first = w.first();
      m.compacted_up_to = w.cleaned();
      m.tombstone_horizon = w.forgotten();
      m.last_token = w.last_token();
      m.corrupted = w.spoilt();
      if (!OffsetsByReplicaFromProto(w.seen(), m.witnessed) || !OffsetsFromProto(w.holes(), m.gaps))
        return std::nullopt;
      return m;
    }
    case wire::Message::kAppend: {
      const auto& w = message.append();
      AppendRequest m;
      m.token = w.token();
      m.incarnation = w.life();
      m.after = w.after();
      m.after_token = w.after_token();
      m.committed = w.committed();
      m.from_snapshot = w.anew();
      m.confirms = w.proves();
      m.compacted_up_to = w.cleaned();
      m.tombstone_horizon = w.forgotten();
      m.min_subscriber_position = w.passed();
      m.snapshot_session = w.session();
      m.corrupted = w.spoilt();
      if (w.has_plan())
        m.plan = PlanFromProto(w.plan());
      if (!EntriesFromProto(w.entries(), m.entries) ||
          !OffsetsByReplicaFromProto(w.held(), m.match_offsets))
        return std::nullopt;
      if (!m.entries.empty() && m.entries.front().offset <= m.after)
        return std::nullopt;
      return m;
    }
    case wire::Message::kKept: {
      const auto& w = message.kept();
      AppendResponse m;
      m.token = w.token();
      m.incarnation = w.life();
      m.up_to = w.up_to();
      m.refused = w.refused();
      m.full = w.full();
      m.unknown_incarnation = w.unsought();
      m.incomplete = w.partial();
      m.needs_reset = w.stranded();
      m.last = w.last();
      m.resume_after = w.hint();
      if (w.has_plan())
        m.plan = PlanFromProto(w.plan());
      if (!OffsetsFromProto(w.holes(), m.gaps))
        return std::nullopt;
      return m;
    }
    case wire::Message::kFetch: {
      FetchRequest m{message.fetch().after(), message.fetch().up_to(), {}};
      if (!OffsetsFromProto(message.fetch().only(), m.offsets))
        return std::nullopt;
      return m;
    }
    case wire::Message::kFetched: {
      const auto& w = message.fetched();
      FetchResponse m;
      m.after = w.after();
      m.up_to = w.up_to();
      m.after_token = w.after_token();
      m.committed = w.committed();
      m.compacted_up_to = w.cleaned();
      m.tombstone_horizon = w.forgotten();
      if (!EntriesFromProto(w.entries(), m.entries) || !OffsetsFromProto(w.only(), m.offsets))
        return std::nullopt;
      return m;
    }
    default:
      return std::nullopt;
  }
}

}  // namespace dunlinwick::record

// The log replica's side: promises tokens, accepts entries that continue its log, responds once
// they are on disk, and repairs gaps from the other replicas.
#include <algorithm>

#include "record/replication.hpp"

namespace dunlinwick::record {

namespace {
// FetchResponse::after of a response to FetchRequest::offsets.
constexpr Offset kGapRepair = ~Offset{0};
// In LogMetadata::witnessed, whose values only grow: how often the replica was confirmed or found
// to be old.
constexpr Id kConfirmationId = 0;
constexpr std::size_t kMaxGapsPerMessage = 16;
}  // namespace

struct LogReplica::Impl {
  Id self;
  std::vector<Id> replicas;
  LogReplicaSettings settings;
  Log& log;
  std::uint64_t incarnation;
  bool failed = false;
  bool unconfirmed = true;
  bool needs_reset = false;
  Ms unix_now = 0;
  Ms gaps_requested_at = -1e300;
  std::size_t next_source = 0;
  std::pair<Token, std::uint64_t> last_snapshot_session{0, 0};  // token and session

  Impl(Id id, std::vector<Id> ids, LogReplicaSettings s, Log& l, std::uint64_t number)
      : self(id),
        replicas(std::move(ids)),
        settings(s),
        log(l),
        incarnation(number != 0 ? number : l.metadata().start_count) {
    // A gap above the known committed offset may be an acknowledged entry, and the next append
    // would hide that it is missing.
    auto gaps = log.Gaps(SIZE_MAX);
    // An entry lost where it looks compacted cannot be identified: only a reset from another
    // replica's log restores it.
    needs_reset = log.HasUnlocatedLoss();
    if (needs_reset || (!gaps.empty() && gaps.back() > log.metadata().committed))
      RunUnlessFailed([&] { SetConfirmed(false); });
  }

  bool IsReplica(Id id) const {
    return std::find(replicas.begin(), replicas.end(), id) != replicas.end();
  }
  Offset ConfirmationCount() const {
    for (auto [id, count] : log.metadata().witnessed)
      if (id == kConfirmationId)
        return count;
    return 0;
  }
  void SetConfirmed(bool confirmed) {
    if ((ConfirmationCount() % 2 == 1) == confirmed)
      return;
    log.RecordWitnessed(kConfirmationId, ConfirmationCount() + 1);
    log.PersistMetadata();
  }
  // Being reset from a snapshot, and not yet past the offset up to which the source was compacted.
  bool IsIncomplete() const {
    return !log.IsComplete();
  }

  PrepareResponse MakePrepareResponse(std::uint64_t round) const {
    const LogMetadata& metadata = log.metadata();
    PrepareResponse response;
    response.token = metadata.promised_token;
    response.store_id = metadata.store_id;
    response.start_count = metadata.start_count;
    response.round = round;
    response.incarnation = incarnation;
    response.unconfirmed = unconfirmed;
    response.unconfirmed_on_disk = ConfirmationCount() % 2 == 0;
    response.last = log.LastOffset();
    response.committed = IsIncomplete() ? 0 : metadata.committed;
    response.first = metadata.first;
    response.compacted_up_to = metadata.compacted_up_to;
    response.tombstone_horizon = metadata.tombstone_horizon;
    response.last_token = log.LastToken();
    response.witnessed = metadata.witnessed;
    response.gaps = log.Gaps(kMaxGapsPerMessage);
    response.corrupted = !response.gaps.empty();
    return response;
  }

  // The offset up to which the log may still agree with the leader writer's: below all entries that
  // have the token of the one that differs.
  Offset ResumeAfter(Offset after) const {
    Offset last = log.LastOffset(), floor = log.metadata().committed;
    if (last < after)
      return last;
    if (IsIncomplete())
      return 0;  // from the start
    auto differing_token = log.TokenAt(after);
    Offset candidate = after == 0 ? 0 : after - 1;
    while (candidate > floor && differing_token && log.TokenAt(candidate) == differing_token)
      --candidate;
    return std::max(candidate, floor);
  }

  // Writes the entries after m.after to disk; returns true if the log then has all of them.
  bool WriteEntries(const AppendRequest& m, Offset& up_to) {
    const LogMetadata& metadata = log.metadata();
    Offset end = m.entries.empty() ? m.after : m.entries.back().offset;
    if (m.from_snapshot && m.after == 0) {
      // A delayed duplicate would discard what was appended since.
      if (last_snapshot_session == std::pair(m.token, m.snapshot_session))
        return false;
      // Stores how far this log reached, so that a replica reset half way is not taken for one
      // whose disk is old. (Otherwise, with a minority of disks lost, a third replica interrupted
      // during its reset would block the record for ever.)
      log.RecordWitnessed(self, log.LastOffset());
      if (!log.ResetFromSnapshot(
              m.entries, {std::min(m.compacted_up_to, end), std::min(m.tombstone_horizon, end)}))
        return false;
      last_snapshot_session = {m.token, m.snapshot_session};
      up_to = end;
      return true;
    }
    // Everything of this session comes from the leader writer; and a committed entry may have
    // another token elsewhere, but no other content.
    bool in_session = m.from_snapshot && IsIncomplete() &&
                      last_snapshot_session == std::pair(m.token, m.snapshot_session);
    auto has = [&](const Entry& e) {
      return (!IsIncomplete() && e.offset <= metadata.committed) ||
             (in_session && e.offset <= log.LastOffset()) || log.TokenAt(e.offset) == e.token;
    };
    std::size_t present = 0;
    while (present < m.entries.size() && has(m.entries[present]))
      ++present;
    if (present < m.entries.size()) {
      std::vector<Entry> rest(m.entries.begin() + static_cast<std::ptrdiff_t>(present),
                              m.entries.end());
      Offset from = rest.front().offset,
             before = present == 0 ? m.after : m.entries[present - 1].offset;
      if (IsIncomplete() && before < metadata.compacted_up_to)
        return false;
      bool skips_compacted = false;
      for (Offset o = before; const Entry& e : rest) {
        skips_compacted = skips_compacted || e.offset != o + 1;
        o = e.offset;
      }
      // Only as far as this message reaches: beyond it, this log is not compacted but empty.
      CompactionProgress source;
      if (skips_compacted || m.from_snapshot)
        source = {std::min(m.compacted_up_to, end), std::min(m.tombstone_horizon, before)};
      // If offsets are skipped, whatever this log has above `before` is not the leader writer's.
      if (skips_compacted && log.LastOffset() > before && before >= metadata.committed)
        from = before + 1;
      if (!log.AppendEntries(from, rest, source))
        return false;
    }
    up_to = end;
    return true;
  }

  void HandleAppend(Id from, const AppendRequest& m, const SendMessage& send) {
    const LogMetadata& metadata = log.metadata();
    AppendResponse response;
    response.incarnation = incarnation;
    response.token = metadata.promised_token;
    response.last = log.LastOffset();
    if (m.token < metadata.promised_token && settings.defect_skip_plan_fencing && m.plan.up_to != 0)
      log.AcceptPlan({metadata.promised_token, m.plan.up_to, m.plan.remove_tombstones_up_to});
    if (m.token < metadata.promised_token || m.incarnation != incarnation ||
        m.token > metadata.promised_token) {
      response.refused = true;
      response.unknown_incarnation = m.token >= metadata.promised_token;
      response.incomplete = IsIncomplete();
      return send(from, response);
    }
    bool known = (!IsIncomplete() && m.after <= metadata.committed) || m.after == 0 ||
                 (m.after_token != 0 && log.TokenAt(m.after) == m.after_token);
    // The session continues where it was, even if the source has compacted that entry meanwhile.
    known = known ||
            (m.from_snapshot && last_snapshot_session == std::pair(m.token, m.snapshot_session) &&
             m.after == log.LastOffset());
    Offset up_to = 0;
    bool was_incomplete = IsIncomplete();
    try {
      if (m.corrupted)
        SetConfirmed(false);
      if (!known || !WriteEntries(m, up_to)) {
        response.refused = true;
        response.resume_after = ResumeAfter(m.after);
        response.incomplete = IsIncomplete();
      } else {
        // A log that is being reset serves nothing below the offset up to which its source was
        // compacted: keys would be missing.
        bool complete = (!m.from_snapshot && !was_incomplete) ||
                        up_to >= (m.from_snapshot ? std::max(m.compacted_up_to, m.tombstone_horizon)
                                                  : m.compacted_up_to);
        // The source's tombstone horizon applies here too, before anything is served: a horizon
        // reported too low would make deleted keys reappear at a subscriber. It is raised only
        // here, because the leader writer also uses it to see whether a source has removed
        // tombstones meanwhile.
        if (m.from_snapshot && complete && up_to >= m.tombstone_horizon &&
            metadata.tombstone_horizon < m.tombstone_horizon)
          log.AppendEntries(0, {}, {0, m.tombstone_horizon});
        if (complete)
          log.Commit(std::min(m.committed, up_to));
        if (m.plan.up_to != 0 && m.plan.token == m.token)
          log.AcceptPlan(m.plan);
        response.up_to = up_to;
        response.gaps = log.Gaps(kMaxGapsPerMessage);
        response.incomplete = IsIncomplete();
        if (m.confirms && up_to >= m.committed && response.gaps.empty() && !response.incomplete) {
          unconfirmed = false;
          SetConfirmed(true);
        }
      }
      for (auto [id, match] : m.match_offsets)
        if (id != self && IsReplica(id))
          log.RecordWitnessed(id, match);
      if (!m.match_offsets.empty())
        log.PersistMetadata();
      if (m.entries.empty()) {
        if (!response.refused && !response.incomplete)
          if (auto plan = log.ProposePlan(unix_now, m.min_subscriber_position, m.token))
            response.plan = *plan;
      }
    } catch (const StorageFullError&) {
      response.full = true;
      response.up_to = known ? std::min(m.after, log.LastOffset()) : 0;
      response.refused = !known;
      response.resume_after = known ? 0 : ResumeAfter(m.after);
      response.gaps = log.Gaps(kMaxGapsPerMessage);
      response.incomplete = IsIncomplete();
    }
    if (log.Gaps(1).empty())
      needs_reset = false;
    response.last = log.LastOffset();
    response.needs_reset = needs_reset;
    send(from, response);
  }

  void HandleFetch(Id from, const FetchRequest& m, const SendMessage& send) {
    const LogMetadata& metadata = log.metadata();
    if (IsIncomplete() || log.HasUnlocatedLoss())
      return;  // a missing entry may be lost rather than superseded
    FetchResponse response;
    response.committed = metadata.committed;
    response.compacted_up_to = metadata.compacted_up_to;
    response.tombstone_horizon = metadata.tombstone_horizon;
    if (!m.offsets.empty()) {
      response.after = kGapRepair;
      std::size_t bytes = 0;
      std::vector<Offset> requested(m.offsets);
      std::sort(requested.begin(), requested.end());
      requested.erase(std::unique(requested.begin(), requested.end()), requested.end());
      auto gaps = log.Gaps(SIZE_MAX);
      for (Offset o : requested) {
        if (o > metadata.committed || std::binary_search(gaps.begin(), gaps.end(), o))
          break;
        if (const Entry* e = log.Find(o)) {
          if (bytes += e->key.size() + e->value.size();
              !response.entries.empty() && bytes > settings.batch_bytes)
            break;
          response.entries.push_back(*e);
        }
        response.up_to = o;
        response.offsets.push_back(o);
      }
    } else {
      response.after = m.after;
      response.after_token = log.TokenAt(m.after).value_or(0);
      response.entries = log.Read(m.after, m.up_to, settings.batch_bytes);
      response.up_to = response.entries.empty() ? m.after : response.entries.back().offset;
    }
    send(from, response);
  }

  void RepairGaps(const FetchResponse& m) {
    if (m.after != kGapRepair || IsIncomplete())
      return;
    // Above it only a leader writer knows which entry belongs there.
    Offset limit = std::min(m.committed, log.metadata().committed);
    for (Offset o : log.Gaps(kMaxGapsPerMessage)) {
      if (o > limit)
        break;
      // A delayed response to another request must not close a gap that it does not cover.
      if (std::find(m.offsets.begin(), m.offsets.end(), o) == m.offsets.end())
        continue;
      auto e = std::find_if(m.entries.begin(), m.entries.end(),
                            [&](const Entry& entry) { return entry.offset == o; });
      if (e != m.entries.end())
        log.RepairGap(*e);
      // Missing there above the source's tombstone horizon: superseded. At or below the horizon it
      // may have been a tombstone that hides an entry still here; closing the gap would make the
      // deleted key reappear.
      else if (o <= m.compacted_up_to && o > m.tombstone_horizon)
        log.CloseCompactedGap(o, {m.compacted_up_to, m.tombstone_horizon});
      else if (o <= m.tombstone_horizon)
        needs_reset = true;
    }
  }

  template <class Operation>
  void RunUnlessFailed(Operation operation) {
    if (failed)
      return;
    try {
      operation();
    } catch (const StorageFullError&) {  // nothing was written; the sender retries
    } catch (const StorageError&) {
      // Whether the last write took effect is unknown: sends nothing until the disk is read again.
      failed = true;
    }
  }
};

LogReplica::LogReplica(Id self, std::vector<Id> replicas, LogReplicaSettings settings, Log& log,
                       std::uint64_t incarnation)
    : impl_(std::make_shared<Impl>(self, std::move(replicas), settings, log, incarnation)) {}

void LogReplica::Receive(Ms, Id from, const Message& m, const SendMessage& send) {
  Impl& impl = *impl_;
  impl.RunUnlessFailed([&] {
    if (auto* prepare = std::get_if<PrepareRequest>(&m)) {
      impl.log.Promise(prepare->token);
      send(from, impl.MakePrepareResponse(prepare->round));
    } else if (auto* append = std::get_if<AppendRequest>(&m)) {
      impl.HandleAppend(from, *append, send);
    } else if (auto* fetch = std::get_if<FetchRequest>(&m)) {
      impl.HandleFetch(from, *fetch, send);
    } else if (auto* response = std::get_if<FetchResponse>(&m); response && impl.IsReplica(from)) {
      impl.RepairGaps(*response);
    }
  });
}

void LogReplica::Tick(Ms now, const SendMessage& send, Ms unix_now) {
  Impl& impl = *impl_;
  impl.unix_now = unix_now >= 0 ? unix_now : now;
  impl.RunUnlessFailed([&] {
    if (impl.IsIncomplete())
      return;
    if (auto gaps = impl.log.Gaps(kMaxGapsPerMessage); !gaps.empty()) {
      while (!gaps.empty() && gaps.back() > impl.log.metadata().committed)
        gaps.pop_back();
      if (gaps.empty() || now < impl.gaps_requested_at + impl.settings.retry_interval ||
          impl.replicas.size() < 2)
        return;
      impl.gaps_requested_at = now;
      Id to = impl.replicas[impl.next_source++ % impl.replicas.size()];
      if (to == impl.self)
        to = impl.replicas[impl.next_source++ % impl.replicas.size()];
      send(to, FetchRequest{0, 0, gaps});
      return;
    }
    impl.log.CompactStep();
  });
}

bool LogReplica::has_failed() const {
  return impl_->failed || impl_->log.has_failed();
}
bool LogReplica::IsUnconfirmed() const {
  return impl_->unconfirmed;
}
void LogReplica::SetUnconfirmed(bool unconfirmed) {
  impl_->unconfirmed = unconfirmed;
}
Log& LogReplica::log() {
  return impl_->log;
}

}  // namespace dunlinwick::record

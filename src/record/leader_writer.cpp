// The leader writer's side: takes over under its token, then appends entries and brings replicas
// that lag behind up to date.
#include <algorithm>

#include "record/replication.hpp"

namespace dunlinwick::record {

const char* ToString(Phase phase) {
  static const char* const kNames[] = {"seeking", "fetching", "rewriting", "serving", "fenced"};
  return kNames[static_cast<std::size_t>(phase)];
}

namespace {
constexpr std::size_t kMaxBatchesInFlight = 8;  // to one replica
std::size_t EncodedSize(const Entry& e) {
  return e.key.size() + e.value.size() + 40;
}

struct Peer {
  bool prepared = false;   // its incarnation has answered our PrepareRequest
  bool trusted = false;    // was confirmed before, or has renewed its promise to us
  bool corrupted = false;  // found to be old, and not brought up to date yet
  bool has_gaps = false;
  bool needs_reset = false;
  bool incomplete = false;
  bool full = false;
  // The offset up to which its log agrees is being searched: one message at a time.
  bool probing = true;
  std::uint64_t incarnation = 0;
  Offset match = 0;
  Offset next = 1;
  Offset last = 0;
  Ms sent_at = -1e300;
  Ms prepare_sent_at = -1e300;
  // Its missing entries are fetched from another replica, as the window does not reach back far
  // enough.
  bool fetching = false;
  Offset fetch_after = 0;
  Ms fetch_sent_at = -1e300;
  std::uint64_t snapshot_session = 0;  // 0: none
  // A session keeps one source and its tombstone horizon: batches of logs with different horizons
  // cannot be combined, as a tombstone would be missing between them.
  Offset session_horizon = 0;
  Id session_source = 0;
};
}  // namespace

struct LeaderWriter::Impl {
  Id self;
  std::vector<Id> replicas;
  LogReplicaSettings settings;
  Token token;
  Phase phase = Phase::kPreparing;
  bool bootstrapped = false;
  std::map<Id, Peer> peers;
  // A round of PrepareRequests; the responses determine the tail, and later which replicas are
  // trusted again.
  std::uint64_t round = 1;
  bool round_open = true;
  std::map<Id, PrepareResponse> prepare_responses;
  // By replica: up to where it was known to hold what is committed.
  std::map<Id, Offset> witnessed;
  Id tail_source = 0;
  Offset tail_last = 0;
  Ms requested_at = -1e300;
  Ms progressed_at = 0;
  // Entries not yet at every replica, or not committed: contiguous from base + 1.
  std::deque<Entry> window;
  std::size_t window_bytes = 0;
  Offset base = 0;
  Offset committed = 0;
  Token base_token = 0;
  Offset compacted_up_to = 0;
  Offset tombstone_horizon = 0;
  Offset min_subscriber_position = 0;
  CompactionPlan plan;
  struct PendingWrite {
    Offset first;
    Offset last;
    WriteCallback callback;
  };
  std::deque<PendingWrite> pending_writes;
  bool drop_tombstones_early = false;  // injected defect
  std::uint64_t snapshot_session_count = 0;
  std::size_t next_source = 0;

  Impl(Id id, std::vector<Id> ids, LogReplicaSettings s, Token granted, Ms now)
      : self(id), replicas(std::move(ids)), settings(s), token(granted), progressed_at(now) {
    for (Id replica : replicas)
      peers[replica];
  }

  std::size_t Majority() const {
    return replicas.size() / 2 + 1;
  }
  Offset LastOffset() const {
    return base + window.size();
  }
  Token TokenAt(Offset o) const {
    if (o == base)
      return base_token;
    return o > base && o <= LastOffset() ? window[o - base - 1].token : 0;
  }
  bool IsEligible(const Peer& peer) const {
    return peer.prepared && peer.trusted && !peer.has_gaps && !peer.incomplete;
  }

  void BecomeFenced() {
    if (phase == Phase::kFenced)
      return;
    phase = Phase::kFenced;
    auto abandoned = std::move(pending_writes);
    pending_writes.clear();
    window.clear();
    window_bytes = 0;
    for (auto& write : abandoned)
      write.callback(Outcome::kUnknown, write.first);
  }

  // ---- taking over

  // A replica reset half way holds less than it did. It discarded only what a majority had without
  // it, so it is not corrupted, only behind.
  static bool IsIncomplete(const PrepareResponse& response) {
    return response.compacted_up_to > response.committed;
  }
  static Offset HighestKnownOffset(Id id, const PrepareResponse& response) {
    Offset highest = response.last;
    for (auto [replica, up_to] : response.witnessed)
      if (replica == id)
        highest = std::max(highest, up_to);
    return highest;
  }
  bool IsCorrupted(Id id, const PrepareResponse& response, bool any_has_entries) const {
    if (response.corrupted)
      return true;
    if (prepare_responses.size() == replicas.size())
      return false;  // a majority of all is complete and has the best tail
    if (any_has_entries && (response.last == 0 || response.unconfirmed_on_disk))
      return true;
    return HasOldDisk(id, response);
  }
  bool HasOldDisk(Id id, const PrepareResponse& response) const {
    for (const auto& [other, reported] : prepare_responses)
      for (auto [replica, up_to] : reported.witnessed)
        if (replica == id && up_to > HighestKnownOffset(id, response))
          return true;
    return false;
  }
  // The replicas of this round whose responses count, if there are enough of them.
  std::optional<std::vector<Id>> TrustedQuorum() const {
    bool any_has_entries = false;
    Offset known_committed = 0;  // known to be committed, by any response
    for (const auto& [id, response] : prepare_responses) {
      any_has_entries = any_has_entries || response.last != 0 || response.committed != 0;
      known_committed = std::max(known_committed, response.committed);
      for (auto [replica, up_to] : response.witnessed)
        if (peers.count(replica)) {
          any_has_entries = any_has_entries || up_to != 0;
          known_committed = std::max(known_committed, up_to);
        }
    }
    if (!any_has_entries && prepare_responses.size() < replicas.size())
      return std::nullopt;  // a silent replica may hold everything
    std::vector<Id> eligible;
    std::size_t unconfirmed_count = 0;
    Offset highest_last = 0;
    for (const auto& [id, response] : prepare_responses) {
      if (IsCorrupted(id, response, any_has_entries))
        continue;
      eligible.push_back(id);
      unconfirmed_count += response.unconfirmed ? 1 : 0;
      highest_last = std::max(highest_last, IsIncomplete(response) ? 0 : response.last);
    }
    std::size_t required = Majority(), minority = replicas.size() - required,
                corrupted_count = prepare_responses.size() - eligible.size();
    // Up to a minority of disks may be old; those found to be old are part of it.
    if (settings.distrust_restarted)
      required += std::min(unconfirmed_count, minority - std::min(minority, corrupted_count));
    // The tails end before what is known to be committed: not all of them can be complete.
    if (eligible.size() < required || highest_last < known_committed) {
      if (!(settings.defect_trust_own_disk && prepare_responses.count(self)))
        return std::nullopt;
    }
    return eligible;
  }
  void ChooseTail(Ms now, const SendMessage& send) {
    auto eligible = TrustedQuorum();
    if (!eligible)
      return;
    round_open = false;
    auto is_better = [&](const PrepareResponse& a, const PrepareResponse& b) {
      if (settings.defect_prefer_longest_tail)
        return a.last != b.last ? a.last > b.last : a.last_token > b.last_token;
      return a.last_token != b.last_token ? a.last_token > b.last_token : a.last > b.last;
    };
    tail_source = eligible->empty() ? self : eligible->front();
    for (Id id : *eligible)
      if (!IsIncomplete(prepare_responses.at(id)) &&
          (IsIncomplete(prepare_responses.at(tail_source)) ||
           is_better(prepare_responses.at(id), prepare_responses.at(tail_source))))
        tail_source = id;
    if (settings.defect_trust_own_disk && prepare_responses.count(self))
      tail_source = self;
    const PrepareResponse& tail = prepare_responses.at(tail_source);
    tail_last = tail.last;
    for (const auto& [id, reported] : prepare_responses) {
      committed = std::max(committed, reported.committed);
      compacted_up_to = std::max(compacted_up_to, reported.compacted_up_to);
      tombstone_horizon = std::max(tombstone_horizon, reported.tombstone_horizon);
    }
    // The window starts at the committed offset; the best tail contains everything up to it.
    committed = std::min(committed, tail_last);
    if (settings.defect_reuse_offsets)
      tail_last = committed;
    bootstrapped = tail_last == 0;
    base = committed;
    base_token = base == tail.last ? tail.last_token : 0;
    window.clear();
    window_bytes = 0;
    // A majority has just promised: every replica that promised with it, even one that is old or
    // empty, counts for the entries that we send it.
    for (const auto& [id, reported] : prepare_responses) {
      StartTracking(id, reported);
      peers.at(id).trusted = true;
    }
    phase = Phase::kFetching;
    progressed_at = now;
    FetchTail(now, send);
  }
  void FetchTail(Ms now, const SendMessage& send) {
    if (LastOffset() >= tail_last)
      return RewriteTail(now, send);
    requested_at = now;
    send(tail_source, FetchRequest{LastOffset(), tail_last, {}});
  }
  void HandleFetchedTail(Ms now, const FetchResponse& response, const SendMessage& send) {
    if (response.after != LastOffset())
      return;
    if (response.after == base && response.after_token != 0)
      base_token = response.after_token;
    for (const Entry& e : response.entries) {
      if (e.offset != LastOffset() + 1 || e.offset > tail_last)
        break;
      if (e.token > token)
        return BecomeFenced();
      AppendToWindow(e);
      progressed_at = now;
    }
    FetchTail(now, send);
  }
  void RewriteTail(Ms now, const SendMessage& send) {
    if (settings.defect_rewrite_whole_tail)
      for (Entry& e : window)
        e.token = token;
    if (!window.empty())
      window.back().token = token;
    phase = window.empty() ? Phase::kServing : Phase::kRewriting;
    for (auto& [id, peer] : peers) {
      if (!peer.prepared)
        continue;
      peer.next = LastOffset() + 1;
      peer.match = 0;
      peer.probing = true;
      if (!window.empty())
        peer.next = LastOffset();
      SendEntries(now, id, send);
    }
  }
  // The replica may have lost a promise to a later leader writer: it counts only after another
  // round of promises by a majority. Otherwise a former lease holder could reuse acknowledged
  // offsets with the help of a replica that lost its disk.
  bool MayHaveLostPromise(Id id, const PrepareResponse& response) const {
    auto w = witnessed.find(id);
    return response.unconfirmed &&
           (settings.distrust_restarted || response.unconfirmed_on_disk || response.last == 0 ||
            response.corrupted ||
            (w != witnessed.end() && HighestKnownOffset(id, response) < w->second));
  }
  bool IsFoundCorrupted(Id id, const PrepareResponse& response) const {
    auto w = witnessed.find(id);
    return response.corrupted || HasOldDisk(id, response) ||
           (w != witnessed.end() && HighestKnownOffset(id, response) < w->second);
  }
  // Starts tracking an incarnation of a replica: how far its log agrees with ours is not known yet.
  void StartTracking(Id id, const PrepareResponse& response) {
    Peer& peer = peers.at(id);
    for (auto [replica, up_to] : response.witnessed)
      witnessed[replica] = std::max(witnessed[replica], up_to);
    peer = Peer{.prepared = true,
                .trusted = !MayHaveLostPromise(id, response),
                .corrupted = IsFoundCorrupted(id, response),
                .has_gaps = !response.gaps.empty(),
                .incomplete = IsIncomplete(response),
                .incarnation = response.incarnation,
                .next = std::min(response.last, LastOffset()) + 1,
                .last = response.last};
  }

  // ---- writing
  void AppendToWindow(const Entry& e) {
    window_bytes += EncodedSize(e);
    window.push_back(e);
  }
  void TrimWindow() {
    while (!window.empty() && base < committed && window_bytes > settings.max_window_bytes / 2) {
      window_bytes -= EncodedSize(window.front());
      base_token = window.front().token;
      ++base;
      window.pop_front();
    }
  }
  AppendRequest MakeAppendRequest(const Peer& peer, Offset after, Token after_token) const {
    AppendRequest request;
    request.token = token;
    request.incarnation = peer.incarnation;
    request.after = after;
    request.after_token = after_token;
    request.committed = committed;
    request.confirms = phase == Phase::kServing && peer.trusted && peer.match >= committed;
    request.corrupted = peer.corrupted;
    request.compacted_up_to = compacted_up_to;
    request.tombstone_horizon = tombstone_horizon;
    request.min_subscriber_position = min_subscriber_position;
    return request;
  }
  // Sends the next entries, or searches for the offset up to which the logs agree; sends nothing if
  // there is nothing to send.
  void SendEntries(Ms now, Id id, const SendMessage& send, bool heartbeat = false) {
    Peer& peer = peers.at(id);
    if (!peer.prepared || phase < Phase::kRewriting || phase == Phase::kFenced)
      return;
    if ((peer.incomplete || peer.needs_reset) && peer.snapshot_session == 0)
      peer.next = 1;
    if (peer.next <= base || ((peer.incomplete || peer.needs_reset) && peer.snapshot_session == 0))
      return FetchForReplica(now, id, send);
    peer.fetching = false;
    for (std::size_t sent = 0;; ++sent) {
      AppendRequest request = MakeAppendRequest(peer, peer.next - 1, TokenAt(peer.next - 1));
      if (peer.snapshot_session != 0) {
        request.from_snapshot = true;
        request.snapshot_session = peer.snapshot_session;
        request.tombstone_horizon = peer.session_horizon;
      }
      std::size_t bytes = 0;
      for (Offset o = peer.next; !peer.full && o <= LastOffset(); ++o) {
        const Entry& e = window[o - base - 1];
        if (!request.entries.empty() && bytes + EncodedSize(e) > settings.batch_bytes)
          break;
        bytes += EncodedSize(e);
        request.entries.push_back(e);
      }
      if (request.entries.empty() && !heartbeat && !(peer.probing && sent == 0))
        return;
      if (request.entries.empty() || heartbeat) {
        if (request.entries.empty())
          request.plan = plan;
        // What is known to be at other replicas and committed is never truncated there, so a
        // replica found behind it has lost it.
        for (const auto& [other, other_peer] : peers)
          if (Offset match = std::min(other_peer.match, committed); match != 0)
            request.match_offsets.emplace_back(other, match);
      }
      heartbeat = false;
      peer.sent_at = now;
      if (!request.entries.empty())
        peer.next = request.entries.back().offset + 1;
      bool continues = !request.entries.empty() && !peer.probing && sent + 1 < kMaxBatchesInFlight;
      send(id, request);
      if (!continues || phase == Phase::kFenced)
        return;
    }
  }
  std::optional<std::pair<Id, Offset>> ChooseSource(Id excluded, Id required) {
    std::vector<std::pair<Id, Offset>> candidates;
    for (const auto& [id, peer] : peers)
      if (id != excluded && (required == 0 || id == required) && IsEligible(peer) &&
          peer.match >= base && peer.match != 0)
        candidates.emplace_back(id, std::min(peer.match, committed));
    if (candidates.empty() && tail_source != excluded && tail_source != 0 &&
        (required == 0 || required == tail_source))
      candidates.emplace_back(tail_source, std::min(tail_last, committed));
    if (candidates.empty())
      return std::nullopt;
    return candidates[next_source++ % candidates.size()];
  }
  void FetchForReplica(Ms now, Id id, const SendMessage& send, Id required_source = 0) {
    Peer& peer = peers.at(id);
    if (peer.fetching && now < peer.fetch_sent_at + settings.retry_interval)
      return;
    auto source =
        ChooseSource(id, peer.snapshot_session != 0 ? peer.session_source : required_source);
    if (!source && peer.snapshot_session != 0) {
      peer.snapshot_session = 0;
      peer.next = 1;
      source = ChooseSource(id, 0);
    }
    if (!source)
      return;
    peer.fetching = true;
    peer.fetch_after = peer.next - 1;
    peer.fetch_sent_at = now;
    send(source->first, FetchRequest{peer.fetch_after, source->second, {}});
  }
  void RelayEntries(Ms now, Id id, Id from, const FetchResponse& response,
                    const SendMessage& send) {
    Peer& peer = peers.at(id);
    peer.fetching = false;
    if (response.entries.empty() || response.entries.back().offset > committed)
      return;
    compacted_up_to = std::max(compacted_up_to, response.compacted_up_to);
    tombstone_horizon = std::max(tombstone_horizon, response.tombstone_horizon);
    bool in_session = peer.snapshot_session != 0 &&
                      peer.session_horizon == response.tombstone_horizon &&
                      peer.session_source == from && response.after != 0;
    if (peer.snapshot_session != 0 && !in_session && response.after != 0) {
      peer.snapshot_session = 0;
      peer.next = 1;
      return FetchForReplica(now, id, send);
    }
    if ((response.after < response.tombstone_horizon || peer.incomplete || peer.needs_reset) &&
        !in_session) {
      // It lacks tombstones that were removed, so it must be reset from a snapshot. It then
      // discards what it has, which must not be needed by the majority.
      std::size_t holder_count = 0;
      for (const auto& [other, other_peer] : peers)
        holder_count +=
            other != id && IsEligible(other_peer) && other_peer.match >= committed ? 1 : 0;
      if (peer.last >= response.compacted_up_to &&
          (phase != Phase::kServing || holder_count < Majority()))
        return;
      peer.snapshot_session = 0;
      // Fetches from the same source: with another source that has removed fewer tombstones, the
      // old entries would agree again, and this would repeat for ever.
      if (response.after != 0) {
        peer.next = 1;
        return FetchForReplica(now, id, send, from);
      }
      peer.needs_reset = false;
      peer.snapshot_session = ++snapshot_session_count;
      peer.session_horizon = response.tombstone_horizon;
      peer.session_source = from;
      peer.match = 0;
    } else if (!in_session) {
      peer.snapshot_session = 0;
    }
    AppendRequest request = MakeAppendRequest(peer, response.after, response.after_token);
    request.entries = response.entries;
    request.compacted_up_to = response.compacted_up_to;
    request.tombstone_horizon = response.tombstone_horizon;
    request.from_snapshot = peer.snapshot_session != 0;
    request.snapshot_session = peer.snapshot_session;
    peer.next = response.entries.back().offset + 1;
    peer.sent_at = now;
    peer.probing = true;
    send(id, request);
  }

  void HandlePrepareResponse(Ms now, Id from, const PrepareResponse& response,
                             const SendMessage& send) {
    if (response.token > token)
      return BecomeFenced();
    if (response.token != token || response.round != round)
      return;
    Peer& peer = peers.at(from);
    if (phase == Phase::kPreparing) {
      prepare_responses[from] = response;
      return ChooseTail(now, send);
    }
    if (round_open)
      prepare_responses[from] = response;
    bool is_new = !peer.prepared || peer.incarnation != response.incarnation;
    if (is_new)
      StartTracking(from, response);
    compacted_up_to = std::max(compacted_up_to, response.compacted_up_to);
    tombstone_horizon = std::max(tombstone_horizon, response.tombstone_horizon);
    if (!peer.trusted && !round_open)
      StartPrepareRound(now, send);
    if (round_open)
      if (TrustedQuorum()) {
        round_open = false;
        for (const auto& [id, reported] : prepare_responses)
          if (peers.at(id).incarnation == reported.incarnation)
            peers.at(id).trusted = true;
        AdvanceCommitted(now, send);
      }
    if (is_new)
      SendEntries(now, from, send, true);
  }
  void StartPrepareRound(Ms now, const SendMessage& send) {
    ++round;
    round_open = true;
    prepare_responses.clear();
    requested_at = now;
    for (Id id : replicas)
      send(id, PrepareRequest{token, round});
  }

  void HandleAppendResponse(Ms now, Id from, const AppendResponse& response,
                            const SendMessage& send) {
    if (response.token > token)
      return BecomeFenced();
    Peer& peer = peers.at(from);
    if (!peer.prepared || phase < Phase::kRewriting || phase == Phase::kFenced)
      return;
    if (response.unknown_incarnation && response.incarnation != peer.incarnation) {
      witnessed[from] = std::max(witnessed[from], std::min(peer.match, committed));
      peer = Peer{};
      if (settings.distrust_restarted)
        return StartPrepareRound(now, send);
      peer.prepare_sent_at = now;
      return send(from, PrepareRequest{token, round});
    }
    if (response.incarnation != peer.incarnation || response.token != token)
      return;
    peer.last = response.last;
    peer.full = response.full;
    peer.incomplete = response.incomplete;
    if (response.needs_reset && peer.snapshot_session == 0 && !peer.needs_reset) {
      peer.needs_reset = true;
      peer.match = 0;
      peer.next = 1;
      peer.probing = true;
    }
    if (peer.needs_reset)
      return peer.fetching ? void() : FetchForReplica(now, from, send);
    if (response.refused) {
      bool is_lower = response.resume_after + 1 < peer.next;
      peer.next = std::max(peer.match, std::min(response.resume_after, LastOffset())) + 1;
      peer.probing = true;
      if (is_lower && !response.full)
        SendEntries(now, from, send);
      return;
    }
    peer.has_gaps = !response.gaps.empty();
    if (peer.snapshot_session != 0 && !response.incomplete &&
        response.up_to >= peer.session_horizon)
      peer.snapshot_session = 0;
    peer.match = std::max(peer.match, std::min(response.up_to, LastOffset()));
    if (phase == Phase::kServing && IsEligible(peer) && peer.match >= committed)
      peer.corrupted = false;
    if (!response.full)
      peer.probing = false;
    peer.next = response.full ? peer.match + 1 : std::max(peer.next, peer.match + 1);
    if (response.plan.up_to != 0 && phase == Phase::kServing && !peer.has_gaps && !peer.incomplete)
      MergePlan(response.plan);
    AdvanceCommitted(now, send);
    if (phase != Phase::kFenced && !response.full)
      SendEntries(now, from, send);
  }
  void MergePlan(const CompactionPlan& proposed) {
    Offset up_to = std::min(proposed.up_to, committed == 0 ? 0 : committed - 1);
    plan.token = token;
    plan.up_to = std::max(plan.up_to, up_to);
    plan.remove_tombstones_up_to = std::max(
        plan.remove_tombstones_up_to,
        std::min({proposed.remove_tombstones_up_to,
                  drop_tombstones_early ? plan.up_to : min_subscriber_position, plan.up_to}));
  }
  void AdvanceCommitted(Ms now, const SendMessage& send) {
    std::vector<Offset> matches;
    for (const auto& [id, peer] : peers)
      matches.push_back(IsEligible(peer) ? peer.match : 0);
    std::sort(matches.begin(), matches.end(), std::greater<>());
    Offset majority_match = std::min(
        matches[settings.defect_commit_without_majority ? 0 : Majority() - 1], LastOffset());
    // Commits only entries of its own token: an earlier entry may be at a majority and still be
    // replaced by a third leader writer's.
    if (majority_match <= committed || TokenAt(majority_match) != token)
      return;
    committed = majority_match;
    if (phase == Phase::kRewriting && committed >= LastOffset())
      phase = Phase::kServing;
    std::vector<PendingWrite> completed;
    while (!pending_writes.empty() && pending_writes.front().last <= committed) {
      completed.push_back(std::move(pending_writes.front()));
      pending_writes.pop_front();
    }
    TrimWindow();
    for (auto& write : completed)
      write.callback(Outcome::kAcknowledged, write.first);
    (void)now;
    (void)send;
  }

  void Tick(Ms now, const SendMessage& send) {
    switch (phase) {
      case Phase::kFenced:
        return;
      case Phase::kPreparing:
        if (now < requested_at + settings.retry_interval)
          return;
        requested_at = now;
        for (Id id : replicas)
          if (!prepare_responses.count(id))
            send(id, PrepareRequest{token, round});
        // Enough responses, but not a trusted quorum: all are asked again, as one may have been
        // repaired.
        if (prepare_responses.size() >= Majority() &&
            now >= progressed_at + 4 * settings.retry_interval)
          RestartPreparation(now);
        return;
      case Phase::kFetching:
        if (now >= progressed_at + 8 * settings.retry_interval)
          return RestartPreparation(now);  // the source is silent, or has another tail now
        if (now >= requested_at + settings.retry_interval)
          FetchTail(now, send);
        return;
      case Phase::kRewriting:
      case Phase::kServing:
        break;
    }
    if (round_open && now >= requested_at + settings.retry_interval) {
      requested_at = now;
      for (Id id : replicas)
        if (!prepare_responses.count(id))
          send(id, PrepareRequest{token, round});
    }
    if (!round_open && now >= requested_at + 4 * settings.retry_interval)
      for (const auto& [id, peer] : peers)
        if (peer.prepared && !peer.trusted) {  // may have been brought up to date by now
          StartPrepareRound(now, send);
          break;
        }
    for (auto& [id, peer] : peers) {
      if (phase == Phase::kFenced)
        return;
      if (!peer.prepared) {
        if (now >= peer.prepare_sent_at + settings.retry_interval && !round_open) {
          peer.prepare_sent_at = now;
          send(id, PrepareRequest{token, round});
        }
        continue;
      }
      bool behind = peer.match < LastOffset() || peer.probing || peer.incomplete;
      if (peer.fetching ? now < peer.fetch_sent_at + settings.retry_interval
                        : now < peer.sent_at + (behind && !peer.full ? settings.retry_interval
                                                                     : settings.heartbeat_interval))
        continue;
      peer.full = false;
      // A batch or its response was lost: sends again from what the replica certainly has. A
      // snapshot session continues where it is.
      if (behind && !peer.fetching && !peer.probing)
        peer.next = peer.match + 1;
      if (behind && peer.probing && peer.next > LastOffset())
        peer.next = std::min(peer.next, LastOffset() + 1);
      SendEntries(now, id, send, true);
    }
  }
  void RestartPreparation(Ms now) {
    phase = Phase::kPreparing;
    ++round;
    round_open = true;
    prepare_responses.clear();
    requested_at = -1e300;
    progressed_at = now;
    window.clear();
    window_bytes = 0;
    committed = 0;
    base = 0;
    base_token = 0;
    tail_source = 0;
  }
};

LeaderWriter::LeaderWriter(Id self, std::vector<Id> replicas, LogReplicaSettings settings,
                           LogSettings log_settings, Token token, Ms now)
    : impl_(std::make_shared<Impl>(self, std::move(replicas), settings, token, now)) {
  impl_->drop_tombstones_early = log_settings.defects.drop_tombstones_early;
}

void LeaderWriter::Tick(Ms now, const SendMessage& send) {
  impl_->Tick(now, send);
}

void LeaderWriter::Receive(Ms now, Id from, const Message& m, const SendMessage& send) {
  auto impl = impl_;  // a WriteCallback may destroy this writer
  if (impl->phase == Phase::kFenced || !impl->peers.count(from))
    return;
  if (auto* prepared = std::get_if<PrepareResponse>(&m)) {
    impl->HandlePrepareResponse(now, from, *prepared, send);
  } else if (auto* appended = std::get_if<AppendResponse>(&m)) {
    impl->HandleAppendResponse(now, from, *appended, send);
  } else if (auto* fetched = std::get_if<FetchResponse>(&m)) {
    if (impl->phase == Phase::kFetching) {
      if (from == impl->tail_source)
        impl->HandleFetchedTail(now, *fetched, send);
    } else if (impl->phase > Phase::kFetching) {
      for (auto& [id, peer] : impl->peers)
        if (peer.prepared && peer.fetching && peer.fetch_after == fetched->after && id != from)
          impl->RelayEntries(now, id, from, *fetched, send);
    }
  }
}

bool LeaderWriter::Write(Ms now, const std::vector<Put>& batch, WriteCallback callback,
                         const SendMessage& send, Ms written_at) {
  auto impl = impl_;
  if (impl->phase != Phase::kServing ||
      impl->pending_writes.size() >= impl->settings.max_pending_writes || batch.empty())
    return false;
  std::size_t bytes = 0, uncommitted_bytes = 0;
  for (const Put& p : batch) {
    if (p.key.empty() || p.key.size() > kMaxKeyBytes || p.value.size() > kMaxValueBytes ||
        (p.tombstone && !p.value.empty()) || static_cast<std::size_t>(p.stream) >= kStreamCount)
      return false;
    bytes += p.key.size() + p.value.size() + 40;
  }
  for (Offset o = impl->committed + 1; o <= impl->LastOffset(); ++o)
    uncommitted_bytes += EncodedSize(impl->window[o - impl->base - 1]);
  if (uncommitted_bytes != 0 && uncommitted_bytes + bytes > impl->settings.max_window_bytes)
    return false;
  Offset first = impl->LastOffset() + 1;
  for (const Put& p : batch)
    impl->AppendToWindow({impl->LastOffset() + 1, impl->token, p.stream, p.key, p.tombstone,
                          p.value, written_at >= 0 ? written_at : now});
  impl->pending_writes.push_back({first, impl->LastOffset(), std::move(callback)});
  for (Id id : impl->replicas)
    if (!impl->peers.at(id).probing)
      impl->SendEntries(now, id, send);
  return true;
}

void LeaderWriter::SetMinSubscriberPosition(Ms, Offset position) {
  impl_->min_subscriber_position = position;
}
void LeaderWriter::Stop() {
  impl_->BecomeFenced();
}
Phase LeaderWriter::phase() const {
  return impl_->phase;
}
Token LeaderWriter::token() const {
  return impl_->token;
}
Offset LeaderWriter::Committed() const {
  return impl_->committed;
}
bool LeaderWriter::IsBootstrapped() const {
  return impl_->bootstrapped;
}
LeaderWriter LeaderWriter::Clone() const {
  LeaderWriter w(*this);
  w.impl_ = std::make_shared<Impl>(*impl_);
  return w;
}
std::string LeaderWriter::StateText() const {
  const Impl& impl = *impl_;
  std::string text;
  auto add = [&](auto... v) {
    ((text += std::to_string(v) + ' '), ...);
  };
  add(impl.token, static_cast<int>(impl.phase), impl.round, impl.round_open, impl.tail_source,
      impl.tail_last, impl.base, impl.committed, impl.base_token, impl.compacted_up_to,
      impl.tombstone_horizon, impl.plan.up_to, impl.snapshot_session_count, impl.bootstrapped);
  for (const auto& [id, peer] : impl.peers)
    add(id, peer.prepared, peer.trusted, peer.corrupted, peer.has_gaps, peer.incomplete, peer.full,
        peer.probing, peer.incarnation, peer.match, peer.next, peer.last, peer.fetching,
        peer.fetch_after, peer.snapshot_session);
  for (const auto& [id, response] : impl.prepare_responses)
    add(id, response.incarnation, response.last, response.last_token, response.committed,
        response.unconfirmed, response.unconfirmed_on_disk, response.corrupted,
        response.witnessed.size());
  for (const Entry& e : impl.window)
    add(e.offset, e.token, Digest(e));
  for (const auto& write : impl.pending_writes)
    add(write.first, write.last);
  return text;
}
std::map<Id, Offset> LeaderWriter::MatchOffsets() const {
  std::map<Id, Offset> out;
  for (const auto& [id, peer] : impl_->peers)
    out[id] = peer.match;
  return out;
}

}  // namespace dunlinwick::record

// The owner's side: takes over behind its token, then writes; brings up who is behind.
#include <algorithm>

#include "record/keepers.hpp"

namespace dunlinwick::record {

const char* ToString(Phase phase) {
  static const char* const kWords[] = {"seeking", "fetching", "rewriting", "serving", "fenced"};
  return kWords[static_cast<std::size_t>(phase)];
}

namespace {
constexpr std::size_t kMaxBatchesInFlight = 8;  // to one keeper
std::size_t SizeOf(const Entry& e) {
  return e.key.size() + e.value.size() + 40;
}

struct Peer {
  bool prepared = false;   // its life has answered our Seek
  bool trusted = false;    // not doubted, or proved by us
  bool corrupted = false;  // found to be old, and not brought up yet
  bool has_gaps = false;
  bool needs_reset = false;
  bool incomplete = false;
  bool full = false;
  bool probing = true;  // what it has in common is being looked for: one message at a time
  std::uint64_t incarnation = 0;
  Offset match = 0;
  Offset next = 1;
  Offset last = 0;
  Ms sent_at = -1e300;
  Ms prepare_sent_at = -1e300;
  // Being brought up from another keeper, as the window does not reach back so far.
  bool fetching = false;
  Offset fetch_after = 0;
  Ms fetch_sent_at = -1e300;
  std::uint64_t snapshot_session = 0;  // anew; 0: none
  Offset session_horizon = 0;  // by its one source, all along: pieces of logs that have forgotten
                               // and of such that have not do
  Id session_source = 0;       // not go together, as a tombstone would be missing between them
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
  // A round of Seek; its answers decide on the tail, later on who is doubted no more.
  std::uint64_t round = 1;
  bool round_open = true;
  std::map<Id, PrepareResponse> prepare_responses;
  std::map<Id, Offset> witnessed;  // by keeper: what it was known to hold of what is committed
  Id tail_source = 0;
  Offset tail_last = 0;
  Ms asked_at = -1e300;
  Ms progressed_at = 0;
  // What is not at every keeper yet, or not committed: contiguous from base + 1.
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
  bool drop_tombstones_early = false;  // broken on purpose
  std::uint64_t snapshot_session_count = 0;
  std::size_t next_source = 0;

  Impl(Id s, std::vector<Id> k, LogReplicaSettings t, Token n, Ms now)
      : self(s), replicas(std::move(k)), settings(t), token(n), progressed_at(now) {
    for (Id id : replicas)
      peers[id];
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
  bool IsEligible(const Peer& p) const {
    return p.prepared && p.trusted && !p.has_gaps && !p.incomplete;
  }

  void BecomeFenced() {
    if (phase == Phase::kFenced)
      return;
    phase = Phase::kFenced;
    auto gone = std::move(pending_writes);
    pending_writes.clear();
    window.clear();
    window_bytes = 0;
    for (auto& u : gone)
      u.callback(Outcome::kUnknown, u.first);
  }

  // ---- taking over
  // One half brought up holds less than it did: it let go only of what a majority had without it,
  // so it is whole, but behind.
  static bool IsIncomplete(const PrepareResponse& t) {
    return t.compacted_up_to > t.committed;
  }
  static Offset HighestKnownOffset(Id id, const PrepareResponse& t) {
    Offset n = t.last;
    for (auto [who, upTo] : t.witnessed)
      if (who == id)
        n = std::max(n, upTo);
    return n;
  }
  bool IsCorrupted(Id id, const PrepareResponse& t, bool some_hold) const {
    if (t.corrupted)
      return true;
    if (prepare_responses.size() == replicas.size())
      return false;  // a majority of all is whole, and has the best tail
    if (some_hold && (t.last == 0 || t.unconfirmed_on_disk))
      return true;
    return HasOldDisk(id, t);
  }
  bool HasOldDisk(Id id, const PrepareResponse& t) const {
    for (const auto& [other, o] : prepare_responses)
      for (auto [who, upTo] : o.witnessed)
        if (who == id && upTo > HighestKnownOffset(id, t))
          return true;
    return false;
  }
  // Those of this round whose word counts, if they are enough.
  std::optional<std::vector<Id>> TrustedQuorum() const {
    bool some_hold = false;
    Offset least = 0;  // what is known to be committed, by anybody's word
    for (const auto& [id, t] : prepare_responses) {
      some_hold = some_hold || t.last != 0 || t.committed != 0;
      least = std::max(least, t.committed);
      for (auto [who, upTo] : t.witnessed)
        if (peers.count(who)) {
          some_hold = some_hold || upTo != 0;
          least = std::max(least, upTo);
        }
    }
    if (!some_hold && prepare_responses.size() < replicas.size())
      return std::nullopt;  // one that is silent may hold everything
    std::vector<Id> ok;
    std::size_t doubted = 0;
    Offset most = 0;
    for (const auto& [id, t] : prepare_responses) {
      if (IsCorrupted(id, t, some_hold))
        continue;
      ok.push_back(id);
      doubted += t.unconfirmed ? 1 : 0;
      most = std::max(most, IsIncomplete(t) ? 0 : t.last);
    }
    std::size_t need = Majority(), minority = replicas.size() - need,
                bad = prepare_responses.size() - ok.size();
    // Up to a minority of disks may be old: those found to be so are of it.
    if (settings.distrust_restarted)
      need += std::min(doubted, minority - std::min(minority, bad));
    // Fewer than is known to be committed: they can't all be whole.
    if (ok.size() < need || most < least) {
      if (!(settings.defect_trust_own_disk && prepare_responses.count(self)))
        return std::nullopt;
    }
    return ok;
  }
  void ChooseTail(Ms now, const SendMessage& send) {
    auto ok = TrustedQuorum();
    if (!ok)
      return;
    round_open = false;
    auto better = [&](const PrepareResponse& a, const PrepareResponse& b) {
      if (settings.defect_prefer_longest_tail)
        return a.last != b.last ? a.last > b.last : a.last_token > b.last_token;
      return a.last_token != b.last_token ? a.last_token > b.last_token : a.last > b.last;
    };
    tail_source = ok->empty() ? self : ok->front();
    for (Id id : *ok)
      if (!IsIncomplete(prepare_responses.at(id)) &&
          (IsIncomplete(prepare_responses.at(tail_source)) ||
           better(prepare_responses.at(id), prepare_responses.at(tail_source))))
        tail_source = id;
    if (settings.defect_trust_own_disk && prepare_responses.count(self))
      tail_source = self;
    const PrepareResponse& t = prepare_responses.at(tail_source);
    tail_last = t.last;
    for (const auto& [id, o] : prepare_responses) {
      committed = std::max(committed, o.committed);
      compacted_up_to = std::max(compacted_up_to, o.compacted_up_to);
      tombstone_horizon = std::max(tombstone_horizon, o.tombstone_horizon);
    }
    // Its entries are counted from where it surely has what is committed; the best tail has all of
    // that.
    committed = std::min(committed, tail_last);
    if (settings.defect_reuse_offsets)
      tail_last = committed;
    bootstrapped = tail_last == 0;
    base = committed;
    base_token = base == t.last ? t.last_token : 0;
    window.clear();
    window_bytes = 0;
    // A majority has just promised: whoever has promised with it, old or empty, counts for what we
    // bring it.
    for (const auto& [id, o] : prepare_responses) {
      StartTracking(id, o);
      peers.at(id).trusted = true;
    }
    phase = Phase::kFetching;
    progressed_at = now;
    FetchTail(now, send);
  }
  void FetchTail(Ms now, const SendMessage& send) {
    if (LastOffset() >= tail_last)
      return RewriteTail(now, send);
    asked_at = now;
    send(tail_source, FetchRequest{LastOffset(), tail_last, {}});
  }
  void HandleFetchedTail(Ms now, const FetchResponse& f, const SendMessage& send) {
    if (f.after != LastOffset())
      return;
    if (f.after == base && f.after_token != 0)
      base_token = f.after_token;
    for (const Entry& e : f.entries) {
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
    for (auto& [id, p] : peers) {
      if (!p.prepared)
        continue;
      p.next = LastOffset() + 1;
      p.match = 0;
      p.probing = true;
      if (!window.empty())
        p.next = LastOffset();
      SendEntries(now, id, send);
    }
  }
  // It may have forgotten a promise to a later writer: it counts only after another round of a
  // majority's promises. Without it, a late owner takes acknowledged offsets again, with the help
  // of a keeper that lost its disk.
  bool MayHaveLostPromise(Id id, const PrepareResponse& t) const {
    auto w = witnessed.find(id);
    return t.unconfirmed &&
           (settings.distrust_restarted || t.unconfirmed_on_disk || t.last == 0 || t.corrupted ||
            (w != witnessed.end() && HighestKnownOffset(id, t) < w->second));
  }
  bool IsFoundCorrupted(Id id, const PrepareResponse& t) const {
    auto w = witnessed.find(id);
    return t.corrupted || HasOldDisk(id, t) ||
           (w != witnessed.end() && HighestKnownOffset(id, t) < w->second);
  }
  // A life of a keeper is met: what it has in common with us is not known yet.
  void StartTracking(Id id, const PrepareResponse& t) {
    Peer& p = peers.at(id);
    for (auto [who, upTo] : t.witnessed)
      witnessed[who] = std::max(witnessed[who], upTo);
    p = Peer{.prepared = true,
             .trusted = !MayHaveLostPromise(id, t),
             .corrupted = IsFoundCorrupted(id, t),
             .has_gaps = !t.gaps.empty(),
             .incomplete = IsIncomplete(t),
             .incarnation = t.incarnation,
             .next = std::min(t.last, LastOffset()) + 1,
             .last = t.last};
  }

  // ---- writing
  void AppendToWindow(const Entry& e) {
    window_bytes += SizeOf(e);
    window.push_back(e);
  }
  void TrimWindow() {
    while (!window.empty() && base < committed && window_bytes > settings.max_window_bytes / 2) {
      window_bytes -= SizeOf(window.front());
      base_token = window.front().token;
      ++base;
      window.pop_front();
    }
  }
  AppendRequest MakeAppendRequest(const Peer& p, Offset after, Token after_token) const {
    AppendRequest a;
    a.token = token;
    a.incarnation = p.incarnation;
    a.after = after;
    a.after_token = after_token;
    a.committed = committed;
    a.confirms = phase == Phase::kServing && p.trusted && p.match >= committed;
    a.corrupted = p.corrupted;
    a.compacted_up_to = compacted_up_to;
    a.tombstone_horizon = tombstone_horizon;
    a.min_subscriber_position = min_subscriber_position;
    return a;
  }
  // Sends what is next, or looks for what is common; with nothing to send, nothing.
  void SendEntries(Ms now, Id id, const SendMessage& send, bool beat = false) {
    Peer& p = peers.at(id);
    if (!p.prepared || phase < Phase::kRewriting || phase == Phase::kFenced)
      return;
    if ((p.incomplete || p.needs_reset) && p.snapshot_session == 0)
      p.next = 1;
    if (p.next <= base || ((p.incomplete || p.needs_reset) && p.snapshot_session == 0))
      return FetchForReplica(now, id, send);
    p.fetching = false;
    for (std::size_t n = 0;; ++n) {
      AppendRequest a = MakeAppendRequest(p, p.next - 1, TokenAt(p.next - 1));
      if (p.snapshot_session != 0) {
        a.from_snapshot = true;
        a.snapshot_session = p.snapshot_session;
        a.tombstone_horizon = p.session_horizon;
      }
      std::size_t bytes = 0;
      for (Offset o = p.next; !p.full && o <= LastOffset(); ++o) {
        const Entry& e = window[o - base - 1];
        if (!a.entries.empty() && bytes + SizeOf(e) > settings.batch_bytes)
          break;
        bytes += SizeOf(e);
        a.entries.push_back(e);
      }
      if (a.entries.empty() && !beat && !(p.probing && n == 0))
        return;
      if (a.entries.empty() || beat) {
        if (a.entries.empty())
          a.plan = plan;
        // What is known to be at others and committed: never truncated there, so whoever is behind
        // it has lost it.
        for (const auto& [other, o] : peers)
          if (Offset held = std::min(o.match, committed); held != 0)
            a.match_offsets.emplace_back(other, held);
      }
      beat = false;
      p.sent_at = now;
      if (!a.entries.empty())
        p.next = a.entries.back().offset + 1;
      bool more = !a.entries.empty() && !p.probing && n + 1 < kMaxBatchesInFlight;
      send(id, a);
      if (!more || phase == Phase::kFenced)
        return;
    }
  }
  std::optional<std::pair<Id, Offset>> ChooseSource(Id not_for, Id only) {
    std::vector<std::pair<Id, Offset>> can;
    for (const auto& [id, p] : peers)
      if (id != not_for && (only == 0 || id == only) && IsEligible(p) && p.match >= base &&
          p.match != 0)
        can.emplace_back(id, std::min(p.match, committed));
    if (can.empty() && tail_source != not_for && tail_source != 0 &&
        (only == 0 || only == tail_source))
      can.emplace_back(tail_source, std::min(tail_last, committed));
    if (can.empty())
      return std::nullopt;
    return can[next_source++ % can.size()];
  }
  void FetchForReplica(Ms now, Id id, const SendMessage& send, Id of = 0) {
    Peer& p = peers.at(id);
    if (p.fetching && now < p.fetch_sent_at + settings.retry_interval)
      return;
    auto from = ChooseSource(id, p.snapshot_session != 0 ? p.session_source : of);
    if (!from && p.snapshot_session != 0) {
      p.snapshot_session = 0;
      p.next = 1;
      from = ChooseSource(id, 0);
    }
    if (!from)
      return;
    p.fetching = true;
    p.fetch_after = p.next - 1;
    p.fetch_sent_at = now;
    send(from->first, FetchRequest{p.fetch_after, from->second, {}});
  }
  void RelayEntries(Ms now, Id id, Id from, const FetchResponse& f, const SendMessage& send) {
    Peer& p = peers.at(id);
    p.fetching = false;
    if (f.entries.empty() || f.entries.back().offset > committed)
      return;
    compacted_up_to = std::max(compacted_up_to, f.compacted_up_to);
    tombstone_horizon = std::max(tombstone_horizon, f.tombstone_horizon);
    bool in_session = p.snapshot_session != 0 && p.session_horizon == f.tombstone_horizon &&
                      p.session_source == from && f.after != 0;
    if (p.snapshot_session != 0 && !in_session && f.after != 0) {
      p.snapshot_session = 0;
      p.next = 1;
      return FetchForReplica(now, id, send);
    }
    if ((f.after < f.tombstone_horizon || p.incomplete || p.needs_reset) && !in_session) {
      // It has not heard of tombstones that are gone: only anew. It forgets what it has, which must
      // not be missed then.
      std::size_t others = 0;
      for (const auto& [o, q] : peers)
        others += o != id && IsEligible(q) && q.match >= committed ? 1 : 0;
      if (p.last >= f.compacted_up_to && (phase != Phase::kServing || others < Majority()))
        return;
      p.snapshot_session = 0;
      // Of the same source: with another in turn that has forgotten less, what it has of old is
      // common again, in a circle for ever.
      if (f.after != 0) {
        p.next = 1;
        return FetchForReplica(now, id, send, from);
      }
      p.needs_reset = false;
      p.snapshot_session = ++snapshot_session_count;
      p.session_horizon = f.tombstone_horizon;
      p.session_source = from;
      p.match = 0;
    } else if (!in_session) {
      p.snapshot_session = 0;
    }
    AppendRequest a = MakeAppendRequest(p, f.after, f.after_token);
    a.entries = f.entries;
    a.compacted_up_to = f.compacted_up_to;
    a.tombstone_horizon = f.tombstone_horizon;
    a.from_snapshot = p.snapshot_session != 0;
    a.snapshot_session = p.snapshot_session;
    p.next = f.entries.back().offset + 1;
    p.sent_at = now;
    p.probing = true;
    send(id, a);
  }

  void HandlePrepareResponse(Ms now, Id from, const PrepareResponse& t, const SendMessage& send) {
    if (t.token > token)
      return BecomeFenced();
    if (t.token != token || t.round != round)
      return;
    Peer& p = peers.at(from);
    if (phase == Phase::kPreparing) {
      prepare_responses[from] = t;
      return ChooseTail(now, send);
    }
    if (round_open)
      prepare_responses[from] = t;
    bool fresh = !p.prepared || p.incarnation != t.incarnation;
    if (fresh)
      StartTracking(from, t);
    compacted_up_to = std::max(compacted_up_to, t.compacted_up_to);
    tombstone_horizon = std::max(tombstone_horizon, t.tombstone_horizon);
    if (!p.trusted && !round_open)
      StartPrepareRound(now, send);
    if (round_open)
      if (TrustedQuorum()) {
        round_open = false;
        for (const auto& [id, o] : prepare_responses)
          if (peers.at(id).incarnation == o.incarnation)
            peers.at(id).trusted = true;
        AdvanceCommitted(now, send);
      }
    if (fresh)
      SendEntries(now, from, send, true);
  }
  void StartPrepareRound(Ms now, const SendMessage& send) {
    ++round;
    round_open = true;
    prepare_responses.clear();
    asked_at = now;
    for (Id id : replicas)
      send(id, PrepareRequest{token, round});
  }

  void HandleAppendResponse(Ms now, Id from, const AppendResponse& k, const SendMessage& send) {
    if (k.token > token)
      return BecomeFenced();
    Peer& p = peers.at(from);
    if (!p.prepared || phase < Phase::kRewriting || phase == Phase::kFenced)
      return;
    if (k.unknown_incarnation && k.incarnation != p.incarnation) {
      witnessed[from] = std::max(witnessed[from], std::min(p.match, committed));
      p = Peer{};
      if (settings.distrust_restarted)
        return StartPrepareRound(now, send);
      p.prepare_sent_at = now;
      return send(from, PrepareRequest{token, round});
    }
    if (k.incarnation != p.incarnation || k.token != token)
      return;
    p.last = k.last;
    p.full = k.full;
    p.incomplete = k.incomplete;
    if (k.needs_reset && p.snapshot_session == 0 && !p.needs_reset) {
      p.needs_reset = true;
      p.match = 0;
      p.next = 1;
      p.probing = true;
    }
    if (p.needs_reset)
      return p.fetching ? void() : FetchForReplica(now, from, send);
    if (k.refused) {
      bool nearer = k.resume_after + 1 < p.next;
      p.next = std::max(p.match, std::min(k.resume_after, LastOffset())) + 1;
      p.probing = true;
      if (nearer && !k.full)
        SendEntries(now, from, send);
      return;
    }
    p.has_gaps = !k.gaps.empty();
    if (p.snapshot_session != 0 && !k.incomplete && k.up_to >= p.session_horizon)
      p.snapshot_session = 0;
    p.match = std::max(p.match, std::min(k.up_to, LastOffset()));
    if (phase == Phase::kServing && IsEligible(p) && p.match >= committed)
      p.corrupted = false;
    if (!k.full)
      p.probing = false;
    p.next = k.full ? p.match + 1 : std::max(p.next, p.match + 1);
    if (k.plan.up_to != 0 && phase == Phase::kServing && !p.has_gaps && !p.incomplete)
      MergePlan(k.plan);
    AdvanceCommitted(now, send);
    if (phase != Phase::kFenced && !k.full)
      SendEntries(now, from, send);
  }
  void MergePlan(const CompactionPlan& p) {
    Offset up_to = std::min(p.up_to, committed == 0 ? 0 : committed - 1);
    plan.token = token;
    plan.up_to = std::max(plan.up_to, up_to);
    plan.remove_tombstones_up_to = std::max(
        plan.remove_tombstones_up_to,
        std::min({p.remove_tombstones_up_to,
                  drop_tombstones_early ? plan.up_to : min_subscriber_position, plan.up_to}));
  }
  void AdvanceCommitted(Ms now, const SendMessage& send) {
    std::vector<Offset> at;
    for (const auto& [id, p] : peers)
      at.push_back(IsEligible(p) ? p.match : 0);
    std::sort(at.begin(), at.end(), std::greater<>());
    Offset n =
        std::min(at[settings.defect_commit_without_majority ? 0 : Majority() - 1], LastOffset());
    // Only by one of its own token: one of before may be at a majority and still give way to a
    // third writer's.
    if (n <= committed || TokenAt(n) != token)
      return;
    committed = n;
    if (phase == Phase::kRewriting && committed >= LastOffset())
      phase = Phase::kServing;
    std::vector<PendingWrite> done;
    while (!pending_writes.empty() && pending_writes.front().last <= committed) {
      done.push_back(std::move(pending_writes.front()));
      pending_writes.pop_front();
    }
    TrimWindow();
    for (auto& u : done)
      u.callback(Outcome::kAcknowledged, u.first);
    (void)now;
    (void)send;
  }

  void Tick(Ms now, const SendMessage& send) {
    switch (phase) {
      case Phase::kFenced:
        return;
      case Phase::kPreparing:
        if (now < asked_at + settings.retry_interval)
          return;
        asked_at = now;
        for (Id id : replicas)
          if (!prepare_responses.count(id))
            send(id, PrepareRequest{token, round});
        // Enough answers that are not good enough: all are asked again, as one may have been
        // healed.
        if (prepare_responses.size() >= Majority() &&
            now >= progressed_at + 4 * settings.retry_interval)
          RestartPreparation(now);
        return;
      case Phase::kFetching:
        if (now >= progressed_at + 8 * settings.retry_interval)
          return RestartPreparation(now);  // it has fallen silent, or has other words now
        if (now >= asked_at + settings.retry_interval)
          FetchTail(now, send);
        return;
      case Phase::kRewriting:
      case Phase::kServing:
        break;
    }
    if (round_open && now >= asked_at + settings.retry_interval) {
      asked_at = now;
      for (Id id : replicas)
        if (!prepare_responses.count(id))
          send(id, PrepareRequest{token, round});
    }
    if (!round_open && now >= asked_at + 4 * settings.retry_interval)
      for (const auto& [id, p] : peers)
        if (p.prepared && !p.trusted) {  // brought up by now, perhaps
          StartPrepareRound(now, send);
          break;
        }
    for (auto& [id, p] : peers) {
      if (phase == Phase::kFenced)
        return;
      if (!p.prepared) {
        if (now >= p.prepare_sent_at + settings.retry_interval && !round_open) {
          p.prepare_sent_at = now;
          send(id, PrepareRequest{token, round});
        }
        continue;
      }
      bool behind = p.match < LastOffset() || p.probing || p.incomplete;
      if (p.fetching ? now < p.fetch_sent_at + settings.retry_interval
                     : now < p.sent_at + (behind && !p.full ? settings.retry_interval
                                                            : settings.heartbeat_interval))
        continue;
      p.full = false;
      // A piece or its answer is lost: again from what it surely has; a session anew goes on from
      // where it is.
      if (behind && !p.fetching && !p.probing)
        p.next = p.match + 1;
      if (behind && p.probing && p.next > LastOffset())
        p.next = std::min(p.next, LastOffset() + 1);
      SendEntries(now, id, send, true);
    }
  }
  void RestartPreparation(Ms now) {
    phase = Phase::kPreparing;
    ++round;
    round_open = true;
    prepare_responses.clear();
    asked_at = -1e300;
    progressed_at = now;
    window.clear();
    window_bytes = 0;
    committed = 0;
    base = 0;
    base_token = 0;
    tail_source = 0;
  }
};

LeaderWriter::LeaderWriter(Id self, std::vector<Id> keepers, LogReplicaSettings terms,
                           LogSettings log_terms, Token token, Ms now)
    : impl_(std::make_shared<Impl>(self, std::move(keepers), terms, token, now)) {
  impl_->drop_tombstones_early = log_terms.defects.drop_tombstones_early;
}

void LeaderWriter::Tick(Ms now, const SendMessage& send) {
  impl_->Tick(now, send);
}

void LeaderWriter::Receive(Ms now, Id from, const Message& m, const SendMessage& send) {
  auto in = impl_;  // a Done may end this writer
  if (in->phase == Phase::kFenced || !in->peers.count(from))
    return;
  if (auto* t = std::get_if<PrepareResponse>(&m)) {
    in->HandlePrepareResponse(now, from, *t, send);
  } else if (auto* k = std::get_if<AppendResponse>(&m)) {
    in->HandleAppendResponse(now, from, *k, send);
  } else if (auto* f = std::get_if<FetchResponse>(&m)) {
    if (in->phase == Phase::kFetching) {
      if (from == in->tail_source)
        in->HandleFetchedTail(now, *f, send);
    } else if (in->phase > Phase::kFetching) {
      for (auto& [id, p] : in->peers)
        if (p.prepared && p.fetching && p.fetch_after == f->after && id != from)
          in->RelayEntries(now, id, from, *f, send);
    }
  }
}

bool LeaderWriter::Write(Ms now, const std::vector<Put>& batch, WriteCallback done,
                         const SendMessage& send, Ms at) {
  auto in = impl_;
  if (in->phase != Phase::kServing ||
      in->pending_writes.size() >= in->settings.max_pending_writes || batch.empty())
    return false;
  std::size_t bytes = 0, waiting = 0;
  for (const Put& p : batch) {
    if (p.key.empty() || p.key.size() > kMaxKeyBytes || p.value.size() > kMaxValueBytes ||
        (p.tombstone && !p.value.empty()) || static_cast<std::size_t>(p.stream) >= kStreamCount)
      return false;
    bytes += p.key.size() + p.value.size() + 40;
  }
  for (Offset o = in->committed + 1; o <= in->LastOffset(); ++o)
    waiting += SizeOf(in->window[o - in->base - 1]);
  if (waiting != 0 && waiting + bytes > in->settings.max_window_bytes)
    return false;
  Offset first = in->LastOffset() + 1;
  for (const Put& p : batch)
    in->AppendToWindow({in->LastOffset() + 1, in->token, p.stream, p.key, p.tombstone, p.value,
                        at >= 0 ? at : now});
  in->pending_writes.push_back({first, in->LastOffset(), std::move(done)});
  for (Id id : in->replicas)
    if (!in->peers.at(id).probing)
      in->SendEntries(now, id, send);
  return true;
}

void LeaderWriter::SetMinSubscriberPosition(Ms, Offset least) {
  impl_->min_subscriber_position = least;
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
  const Impl& in = *impl_;
  std::string s;
  auto add = [&](auto... v) {
    ((s += std::to_string(v) + ' '), ...);
  };
  add(in.token, static_cast<int>(in.phase), in.round, in.round_open, in.tail_source, in.tail_last,
      in.base, in.committed, in.base_token, in.compacted_up_to, in.tombstone_horizon, in.plan.up_to,
      in.snapshot_session_count, in.bootstrapped);
  for (const auto& [id, p] : in.peers)
    add(id, p.prepared, p.trusted, p.corrupted, p.has_gaps, p.incomplete, p.full, p.probing,
        p.incarnation, p.match, p.next, p.last, p.fetching, p.fetch_after, p.snapshot_session);
  for (const auto& [id, t] : in.prepare_responses)
    add(id, t.incarnation, t.last, t.last_token, t.committed, t.unconfirmed, t.unconfirmed_on_disk,
        t.corrupted, t.witnessed.size());
  for (const Entry& e : in.window)
    add(e.offset, e.token, Digest(e));
  for (const auto& u : in.pending_writes)
    add(u.first, u.last);
  return s;
}
std::map<Id, Offset> LeaderWriter::MatchOffsets() const {
  std::map<Id, Offset> out;
  for (const auto& [id, p] : impl_->peers)
    out[id] = p.match;
  return out;
}

}  // namespace dunlinwick::record

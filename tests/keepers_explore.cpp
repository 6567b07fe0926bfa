#include "keepers_explore.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_set>
#include <vector>

#include <xxhash.h>

#include "record/memory_log_storage.hpp"
#include "record/replication.hpp"

using namespace dunlinwick::record;

namespace {

struct ReplicaState {
  MemoryLogStorage::Contents disk;
  std::uint64_t incarnation = 1;
  bool unconfirmed = true;
};
struct State {
  ReplicaState replicas[3];
  std::vector<MemoryLogStorage::Contents> old;  // of replica 1, after each change
  std::optional<LeaderWriter> writers[2];
  int puts_left[2] = {0, 0};
  int ticks_left[2] = {0, 0};
  bool crash_left = false;
  bool rollback_left = false;
  int rolled = -1;
  std::set<std::string> net;  // from, to, bytes: each may be delivered at any time, or never
  std::map<Offset, std::string> acknowledged;
  std::map<Offset, std::string> committed;
};

const std::vector<Id> kIds{1, 2, 3};

class Explorer {
 public:
  explicit Explorer(const ExploreSettings& t) : settings_(t) {
    replica_settings_.retry_interval = replica_settings_.heartbeat_interval = 0;
    replica_settings_.distrust_restarted = t.distrust_restarted;
    replica_settings_.defect_rewrite_whole_tail = t.rewrite_whole_tail;
    replica_settings_.defect_commit_without_majority = t.commit_without_majority;
  }
  ExploreResult Play() {
    State s;
    for (int i = 0; i < 2; ++i) {
      // The second token is granted while the first writer may still believe that it holds the
      // lease: both may act at any time.
      s.writers[i].emplace(static_cast<Id>(i + 1), kIds, replica_settings_, LogSettings{},
                           static_cast<Token>(i + 1), 0);
      s.puts_left[i] = (settings_.puts + 1 - i) / 2;
      s.ticks_left[i] = settings_.ticks + 1;
    }
    s.crash_left = settings_.crash;
    s.rollback_left = settings_.roll_back_disk;
    for (Id id : kIds) {  // each has been started once
      MemoryLogStorage d;
      Log log(id, {}, d, id);
      s.replicas[id - 1].disk = d.contents();
    }
    Push(std::move(s));
    while (!queue_.empty() && result_.finding.empty()) {
      if (seen_.size() >= settings_.max_states) {
        result_.complete = false;
        break;
      }
      // Depth first, so that complete executions are explored even if the bound is reached; every
      // eighth state is taken from the other end.
      std::shared_ptr<State> now;
      if (++step_ % 8 == 0) {
        now = queue_.front();
        queue_.pop_front();
      } else {
        now = queue_.back();
        queue_.pop_back();
      }
      Expand(*now);
    }
    result_.states = seen_.size();
    return result_;
  }

 private:
  static std::string Packet(Id from, Id to, const Message& m) {
    return std::string{static_cast<char>(from), static_cast<char>(to)} + Encode(m);
  }
  SendMessage Sender(State& s, Id from) {
    return [&s, from](Id to, const Message& m) {
      s.net.insert(Packet(from, to, m));
    };
  }
  static std::string Text(const Entry& e) {
    return e.key + "=" + e.value;
  }

  // Builds the replica from its saved state, runs `action` on it, and saves its state again.
  template <class Action>
  void WithReplica(State& s, int i, Action action,
                   MemoryLogStorage::WriteFault fault = MemoryLogStorage::WriteFault::kNone) {
    ReplicaState& k = s.replicas[i];
    MemoryLogStorage d;
    d.RestoreContents(k.disk);
    Log log(static_cast<Id>(i + 1), {}, d, 0);
    LogReplica replica(static_cast<Id>(i + 1), kIds, replica_settings_, log, k.incarnation);
    replica.SetUnconfirmed(k.unconfirmed);
    std::uint64_t start = d.WriteCount() + 1;
    d.write_fault = [&, start](std::uint64_t n) {
      return n == start ? fault : MemoryLogStorage::WriteFault::kNone;
    };
    action(replica);
    auto starts = k.disk.metadata ? k.disk.metadata->start_count : 0;
    bool failed = replica.has_failed();
    k.unconfirmed = replica.IsUnconfirmed();
    auto before = k.disk.entries.size();
    k.disk = d.contents();
    k.disk.metadata->start_count = starts;
    if (failed)
      Restart(s, i);
    if (i == 0 && s.rollback_left && before != k.disk.entries.size())
      s.old.push_back(k.disk);
  }
  void Restart(State& s, int i) {
    ++s.replicas[i].incarnation;
    s.replicas[i].unconfirmed = true;
    s.replicas[i].disk.metadata->start_count++;
  }

  void Expand(const State& s) {
    for (const std::string& p : s.net) {
      State n = Copy(s);
      n.net.erase(p);
      Deliver(n, p, MemoryLogStorage::WriteFault::kNone);
      Push(std::move(n));
      if (s.crash_left) {
        for (auto fault : {MemoryLogStorage::WriteFault::kFailBefore,
                           MemoryLogStorage::WriteFault::kFailAfter}) {
          State c = Copy(s);
          c.net.erase(p);
          c.crash_left = false;
          auto incarnation_before = c.replicas[p[1] - 1].incarnation;
          Deliver(c, p, fault);
          if (c.replicas[p[1] - 1].incarnation != incarnation_before)
            Push(std::move(c));
        }
      }
    }
    for (int i = 0; i < 2; ++i) {
      if (s.writers[i]->phase() == Phase::kFenced)
        continue;
      if (s.ticks_left[i] > 0) {
        State n = Copy(s);
        --n.ticks_left[i];
        Act(n, [&] { n.writers[i]->Tick(0, Sender(n, static_cast<Id>(i + 1))); });
        Push(std::move(n));
      }
      if (s.puts_left[i] > 0 && s.writers[i]->phase() == Phase::kServing) {
        State n = Copy(s);
        --n.puts_left[i];
        std::string value = std::to_string(i) + "." + std::to_string(n.puts_left[i]);
        auto callback = [value](LeaderWriter::Outcome o, Offset at) {
          if (o == LeaderWriter::Outcome::kAcknowledged)
            now_->acknowledged[at] = "k=" + value;
        };
        Act(n, [&] {
          n.writers[i]->Write(0, {{Stream::kRules, "k", false, value}}, callback,
                              Sender(n, static_cast<Id>(i + 1)));
        });
        Push(std::move(n));
      }
    }
    if (s.rollback_left)
      for (std::size_t o = 0; o <= s.old.size(); ++o) {
        State n = Copy(s);
        n.rollback_left = false;
        n.rolled = 0;
        if (o == s.old.size()) {
          n.replicas[0].disk.entries.clear();
          n.replicas[0].disk.metadata = LogMetadata{};
          n.replicas[0].disk.metadata->store_id = 9;
          n.replicas[0].disk.metadata->replica_id = 1;
        } else
          n.replicas[0].disk = s.old[o];
        n.old.clear();
        Restart(n, 0);
        Push(std::move(n));
      }
  }
  State Copy(const State& s) {
    State n = s;
    for (int i = 0; i < 2; ++i)
      n.writers[i].emplace(s.writers[i]->Clone());
    return n;
  }
  template <class Action>
  void Act(State& s, Action action) {
    now_ = &s;
    action();
    now_ = nullptr;
  }
  void Deliver(State& s, const std::string& p, MemoryLogStorage::WriteFault fault) {
    Id from = static_cast<Id>(p[0]), to = static_cast<Id>(p[1]);
    auto m = Decode({p.data() + 2, p.size() - 2});
    if (!m)
      return void(result_.finding = "a message cannot be decoded");
    Act(s, [&] {
      WithReplica(
          s, static_cast<int>(to) - 1,
          [&](LogReplica& k) { k.Receive(0, from, *m, Sender(s, to)); }, fault);
      if (to <= 2)
        s.writers[to - 1]->Receive(0, from, *m, Sender(s, to));
    });
  }

  void Push(State&& s) {
    // No two contents are committed at one offset; content is acknowledged is at a majority, except
    // for the disk that was rolled back, and does not change.
    for (int i = 0; i < 3; ++i)
      for (const auto& [o, e] : s.replicas[i].disk.entries)
        if (o <= s.replicas[i].disk.metadata->committed) {
          auto c = s.committed.emplace(o, Text(e.first)).first;
          if (c->second != Text(e.first))
            return void(result_.finding = "offset " + std::to_string(o) + ": " + c->second +
                                          " and " + Text(e.first) + " are committed");
        }
    for (const auto& [o, content] : s.acknowledged) {
      int n = 0;
      for (int i = 0; i < 3; ++i) {
        auto e = s.replicas[i].disk.entries.find(o);
        if (e != s.replicas[i].disk.entries.end() && Text(e->second.first) == content)
          ++n;
      }
      if (n < (s.rolled >= 0 ? 1 : 2))
        return void(result_.finding = "acknowledged " + content + " at " + std::to_string(o) +
                                      " is at " + std::to_string(n));
      auto c = s.committed.find(o);
      if (c != s.committed.end() && c->second != content)
        return void(result_.finding = "acknowledged " + content + ", committed " + c->second);
    }
    // A fenced writer ignores responses: they are dropped, to keep the state space small.
    for (auto p = s.net.begin(); p != s.net.end();) {
      Id to = static_cast<Id>((*p)[1]);
      auto m = Decode({p->data() + 2, p->size() - 2});
      bool is_response = m && (std::holds_alternative<PrepareResponse>(*m) ||
                               std::holds_alternative<AppendResponse>(*m) ||
                               std::holds_alternative<FetchResponse>(*m));
      if (is_response && (to > 2 || s.writers[to - 1]->phase() == Phase::kFenced))
        p = s.net.erase(p);
      else
        ++p;
    }
    std::string fingerprint;
    for (const ReplicaState& k : s.replicas) {
      auto add = [&](std::uint64_t v) {
        fingerprint += std::to_string(v) + ' ';
      };
      add(k.incarnation);
      add(k.unconfirmed);
      add(k.disk.metadata->promised_token);
      add(k.disk.metadata->committed);
      add(k.disk.metadata->compacted_up_to);
      for (auto [who, o] : k.disk.metadata->witnessed) {
        add(who);
        add(o);
      }
      for (const auto& [o, e] : k.disk.entries) {
        add(o);
        add(Digest(e.first));
      }
      fingerprint += '|';
    }
    for (int i = 0; i < 2; ++i)
      fingerprint += s.writers[i]->StateText() + '|' + std::to_string(s.puts_left[i]) + ' ' +
                     std::to_string(s.ticks_left[i]) + '|';
    for (const std::string& p : s.net)
      fingerprint += p;
    for (const auto& [o, content] : s.acknowledged)
      fingerprint += std::to_string(o) + content;
    fingerprint += std::to_string(s.crash_left) + std::to_string(s.rollback_left) +
                   std::to_string(s.old.size());
    XXH128_hash_t h = XXH3_128bits(fingerprint.data(), fingerprint.size());
    if (!seen_.insert({h.high64, h.low64}).second)
      return;
    if (!s.acknowledged.empty())
      ++result_.acknowledged_states;
    queue_.push_back(std::make_shared<State>(std::move(s)));
  }

  ExploreSettings settings_;
  LogReplicaSettings replica_settings_;
  ExploreResult result_;
  std::deque<std::shared_ptr<State>> queue_;
  std::set<std::pair<std::uint64_t, std::uint64_t>> seen_;
  std::uint64_t step_ = 0;
  static State* now_;
};
State* Explorer::now_ = nullptr;

}  // namespace

ExploreResult Explore(const ExploreSettings& settings) {
  return Explorer(settings).Play();
}

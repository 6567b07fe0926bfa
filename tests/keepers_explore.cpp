#include "keepers_explore.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_set>
#include <vector>

#include <xxhash.h>

#include "record/keepers.hpp"
#include "record/memory_disk.hpp"

using namespace dunlinwick::record;

namespace {

struct KeeperState {
  MemoryLogStorage::Contents disk;
  std::uint64_t life = 1;
  bool doubted = true;
};
struct State {
  KeeperState keepers[3];
  std::vector<MemoryLogStorage::Contents> old;  // of keeper 1, as it was after each change
  std::optional<LeaderWriter> writers[2];
  int puts_left[2] = {0, 0};
  int ticks_left[2] = {0, 0};
  bool crash_left = false;
  bool old_left = false;
  int rolled = -1;
  std::set<std::string> net;  // from, to, bytes: each may come once more at any time, or never
  std::map<Offset, std::string> acknowledged;
  std::map<Offset, std::string> committed;
};

const std::vector<Id> kIds{1, 2, 3};

class Explorer {
 public:
  explicit Explorer(const ExploreTerms& t) : terms_(t) {
    keeper_.retry_interval = keeper_.heartbeat_interval = 0;
    keeper_.distrust_restarted = t.doubt;
    keeper_.defect_rewrite_whole_tail = t.rewrite_all;
    keeper_.defect_commit_without_majority = t.first_majority;
  }
  Explored Play() {
    State s;
    for (int i = 0; i < 2; ++i) {
      // The second is granted while the first may still believe itself owner: both may act at any
      // time.
      s.writers[i].emplace(static_cast<Id>(i + 1), kIds, keeper_, LogSettings{},
                           static_cast<Token>(i + 1), 0);
      s.puts_left[i] = (terms_.puts + 1 - i) / 2;
      s.ticks_left[i] = terms_.ticks + 1;
    }
    s.crash_left = terms_.crash;
    s.old_left = terms_.old_copy;
    for (Id id : kIds) {  // each has been started once
      MemoryLogStorage d;
      Log log(id, {}, d, id);
      s.keepers[id - 1].disk = d.contents();
    }
    Push(std::move(s));
    while (!queue_.empty() && out_.found.empty()) {
      if (seen_.size() >= terms_.most) {
        out_.whole = false;
        break;
      }
      // Depth first, so that a bound that is met still leaves whole stories told; every eighth from
      // the other end.
      std::shared_ptr<State> now;
      if (++turn_ % 8 == 0) {
        now = queue_.front();
        queue_.pop_front();
      } else {
        now = queue_.back();
        queue_.pop_back();
      }
      Expand(*now);
    }
    out_.states = seen_.size();
    return out_;
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

  // The keeper over its disk as it is: `how` acts on it, and its state is taken apart again.
  template <class How>
  void WithKeeper(State& s, int i, How how,
                  MemoryLogStorage::WriteFault fate = MemoryLogStorage::WriteFault::kNone) {
    KeeperState& k = s.keepers[i];
    MemoryLogStorage d;
    d.RestoreContents(k.disk);
    Log log(static_cast<Id>(i + 1), {}, d, 0);
    LogReplica keeper(static_cast<Id>(i + 1), kIds, keeper_, log, k.life);
    keeper.SetUnconfirmed(k.doubted);
    std::uint64_t start = d.WriteCount() + 1;
    d.write_fault = [&, start](std::uint64_t n) {
      return n == start ? fate : MemoryLogStorage::WriteFault::kNone;
    };
    how(keeper);
    auto starts = k.disk.metadata ? k.disk.metadata->start_count : 0;
    bool failed = keeper.has_failed();
    k.doubted = keeper.IsUnconfirmed();
    auto before = k.disk.entries.size();
    k.disk = d.contents();
    k.disk.metadata->start_count = starts;
    if (failed)
      Restart(s, i);
    if (i == 0 && s.old_left && before != k.disk.entries.size())
      s.old.push_back(k.disk);
  }
  void Restart(State& s, int i) {
    ++s.keepers[i].life;
    s.keepers[i].doubted = true;
    s.keepers[i].disk.metadata->start_count++;
  }

  void Expand(const State& s) {
    for (const std::string& p : s.net) {
      State n = Copy(s);
      n.net.erase(p);
      Deliver(n, p, MemoryLogStorage::WriteFault::kNone);
      Push(std::move(n));
      if (s.crash_left) {
        for (auto fate : {MemoryLogStorage::WriteFault::kFailBefore,
                          MemoryLogStorage::WriteFault::kFailAfter}) {
          State c = Copy(s);
          c.net.erase(p);
          c.crash_left = false;
          auto lives = c.keepers[p[1] - 1].life;
          Deliver(c, p, fate);
          if (c.keepers[p[1] - 1].life != lives)
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
        auto done = [value](LeaderWriter::Outcome o, Offset at) {
          if (o == LeaderWriter::Outcome::kAcknowledged)
            now_->acknowledged[at] = "k=" + value;
        };
        Act(n, [&] {
          n.writers[i]->Write(0, {{Stream::kRules, "k", false, value}}, done,
                              Sender(n, static_cast<Id>(i + 1)));
        });
        Push(std::move(n));
      }
    }
    if (s.old_left)
      for (std::size_t o = 0; o <= s.old.size(); ++o) {
        State n = Copy(s);
        n.old_left = false;
        n.rolled = 0;
        if (o == s.old.size()) {
          n.keepers[0].disk.entries.clear();
          n.keepers[0].disk.metadata = LogMetadata{};
          n.keepers[0].disk.metadata->store_id = 9;
          n.keepers[0].disk.metadata->replica_id = 1;
        } else
          n.keepers[0].disk = s.old[o];
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
  template <class How>
  void Act(State& s, How how) {
    now_ = &s;
    how();
    now_ = nullptr;
  }
  void Deliver(State& s, const std::string& p, MemoryLogStorage::WriteFault fate) {
    Id from = static_cast<Id>(p[0]), to = static_cast<Id>(p[1]);
    auto m = Decode({p.data() + 2, p.size() - 2});
    if (!m)
      return void(out_.found = "a message is not read back");
    Act(s, [&] {
      WithKeeper(
          s, static_cast<int>(to) - 1,
          [&](LogReplica& k) { k.Receive(0, from, *m, Sender(s, to)); }, fate);
      if (to <= 2)
        s.writers[to - 1]->Receive(0, from, *m, Sender(s, to));
    });
  }

  void Push(State&& s) {
    // No two contents committed at an offset; what is acknowledged is at a majority but for the
    // disk that was put back, and stays.
    for (int i = 0; i < 3; ++i)
      for (const auto& [o, e] : s.keepers[i].disk.entries)
        if (o <= s.keepers[i].disk.metadata->committed) {
          auto c = s.committed.emplace(o, Text(e.first)).first;
          if (c->second != Text(e.first))
            return void(out_.found = "offset " + std::to_string(o) + ": " + c->second + " and " +
                                     Text(e.first) + " are committed");
        }
    for (const auto& [o, what] : s.acknowledged) {
      int n = 0;
      for (int i = 0; i < 3; ++i) {
        auto e = s.keepers[i].disk.entries.find(o);
        if (e != s.keepers[i].disk.entries.end() && Text(e->second.first) == what)
          ++n;
      }
      if (n < (s.rolled >= 0 ? 1 : 2))
        return void(out_.found = "acknowledged " + what + " at " + std::to_string(o) + " is at " +
                                 std::to_string(n));
      auto c = s.committed.find(o);
      if (c != s.committed.end() && c->second != what)
        return void(out_.found = "acknowledged " + what + ", committed " + c->second);
    }
    // To a fenced writer and by its token nothing more happens but refusals: its answers are not
    // kept under way.
    for (auto p = s.net.begin(); p != s.net.end();) {
      Id to = static_cast<Id>((*p)[1]);
      auto m = Decode({p->data() + 2, p->size() - 2});
      bool answer = m && (std::holds_alternative<PrepareResponse>(*m) ||
                          std::holds_alternative<AppendResponse>(*m) ||
                          std::holds_alternative<FetchResponse>(*m));
      if (answer && (to > 2 || s.writers[to - 1]->phase() == Phase::kFenced))
        p = s.net.erase(p);
      else
        ++p;
    }
    std::string print;
    for (const KeeperState& k : s.keepers) {
      auto add = [&](std::uint64_t v) {
        print += std::to_string(v) + ' ';
      };
      add(k.life);
      add(k.doubted);
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
      print += '|';
    }
    for (int i = 0; i < 2; ++i)
      print += s.writers[i]->StateText() + '|' + std::to_string(s.puts_left[i]) + ' ' +
               std::to_string(s.ticks_left[i]) + '|';
    for (const std::string& p : s.net)
      print += p;
    for (const auto& [o, what] : s.acknowledged)
      print += std::to_string(o) + what;
    print +=
        std::to_string(s.crash_left) + std::to_string(s.old_left) + std::to_string(s.old.size());
    XXH128_hash_t h = XXH3_128bits(print.data(), print.size());
    if (!seen_.insert({h.high64, h.low64}).second)
      return;
    if (!s.acknowledged.empty())
      ++out_.acknowledged;
    queue_.push_back(std::make_shared<State>(std::move(s)));
  }

  ExploreTerms terms_;
  LogReplicaSettings keeper_;
  Explored out_;
  std::deque<std::shared_ptr<State>> queue_;
  std::set<std::pair<std::uint64_t, std::uint64_t>> seen_;
  std::uint64_t turn_ = 0;
  static State* now_;
};
State* Explorer::now_ = nullptr;

}  // namespace

Explored Explore(const ExploreTerms& terms) {
  return Explorer(terms).Play();
}

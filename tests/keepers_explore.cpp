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
  MemoryDisk::Copy disk;
  std::uint64_t life = 1;
  bool doubted = true;
};
struct State {
  KeeperState keepers[3];
  std::vector<MemoryDisk::Copy> old;  // of keeper 1, as it was after each change
  std::optional<Writer> writers[2];
  int putsLeft[2] = {0, 0}, ticksLeft[2] = {0, 0};
  bool crashLeft = false, oldLeft = false;
  int rolled = -1;
  std::set<std::string> net;  // from, to, bytes: each may come once more at any time, or never
  std::map<Offset, std::string> acknowledged, committed;
};

const std::vector<Id> ids{1, 2, 3};

class Explorer {
 public:
  explicit Explorer(const ExploreTerms& t) : terms_(t) {
    keeper_.again = keeper_.heartbeat = 0;
    keeper_.doubtRestarts = t.doubt, keeper_.breakRewrite = t.rewriteAll, keeper_.breakMajority = t.firstMajority;
  }
  Explored play() {
    State s;
    for (int i = 0; i < 2; ++i) {
      // The second is granted while the first may still believe itself owner: both may act at any time.
      s.writers[i].emplace(static_cast<Id>(i + 1), ids, keeper_, LogTerms{}, static_cast<Token>(i + 1), 0);
      s.putsLeft[i] = (terms_.puts + 1 - i) / 2, s.ticksLeft[i] = terms_.ticks + 1;
    }
    s.crashLeft = terms_.crash, s.oldLeft = terms_.oldCopy;
    for (Id id : ids) {  // each has been started once
      MemoryDisk d;
      Log log(id, {}, d, id);
      s.keepers[id - 1].disk = d.copy();
    }
    push(std::move(s));
    while (!queue_.empty() && out_.found.empty()) {
      if (seen_.size() >= terms_.most) {
        out_.whole = false;
        break;
      }
      // Depth first, so that a bound that is met still leaves whole stories told; every eighth from the other end.
      std::shared_ptr<State> now;
      if (++turn_ % 8 == 0) now = queue_.front(), queue_.pop_front();
      else now = queue_.back(), queue_.pop_back();
      expand(*now);
    }
    out_.states = seen_.size();
    return out_;
  }

 private:
  static std::string packet(Id from, Id to, const Message& m) { return std::string{static_cast<char>(from), static_cast<char>(to)} + encode(m); }
  Send sender(State& s, Id from) {
    return [&s, from](Id to, const Message& m) { s.net.insert(packet(from, to, m)); };
  }
  static std::string text(const Entry& e) { return e.key + "=" + e.value; }

  // The keeper over its disk as it is: `how` acts on it, and its state is taken apart again.
  template <class How>
  void withKeeper(State& s, int i, How how, MemoryDisk::Fate fate = MemoryDisk::Fate::well) {
    KeeperState& k = s.keepers[i];
    MemoryDisk d;
    d.putBack(k.disk);
    Log log(static_cast<Id>(i + 1), {}, d, 0);
    Keeper keeper(static_cast<Id>(i + 1), ids, keeper_, log, k.life);
    keeper.setDoubted(k.doubted);
    std::uint64_t start = d.calls() + 1;
    d.fate = [&, start](std::uint64_t n) { return n == start ? fate : MemoryDisk::Fate::well; };
    how(keeper);
    auto starts = k.disk.head ? k.disk.head->starts : 0;
    bool failed = keeper.failed();
    k.doubted = keeper.doubted();
    auto before = k.disk.entries.size();
    k.disk = d.copy();
    k.disk.head->starts = starts;
    if (failed) restart(s, i);
    if (i == 0 && s.oldLeft && before != k.disk.entries.size()) s.old.push_back(k.disk);
  }
  void restart(State& s, int i) {
    ++s.keepers[i].life, s.keepers[i].doubted = true;
    s.keepers[i].disk.head->starts++;
  }

  void expand(const State& s) {
    for (const std::string& p : s.net) {
      State n = copy(s);
      n.net.erase(p);
      deliver(n, p, MemoryDisk::Fate::well);
      push(std::move(n));
      if (s.crashLeft) {
        for (auto fate : {MemoryDisk::Fate::failsBefore, MemoryDisk::Fate::failsAfter}) {
          State c = copy(s);
          c.net.erase(p), c.crashLeft = false;
          auto lives = c.keepers[p[1] - 1].life;
          deliver(c, p, fate);
          if (c.keepers[p[1] - 1].life != lives) push(std::move(c));
        }
      }
    }
    for (int i = 0; i < 2; ++i) {
      if (s.writers[i]->phase() == Phase::fenced) continue;
      if (s.ticksLeft[i] > 0) {
        State n = copy(s);
        --n.ticksLeft[i];
        act(n, [&] { n.writers[i]->tick(0, sender(n, static_cast<Id>(i + 1))); });
        push(std::move(n));
      }
      if (s.putsLeft[i] > 0 && s.writers[i]->phase() == Phase::serving) {
        State n = copy(s);
        --n.putsLeft[i];
        std::string value = std::to_string(i) + "." + std::to_string(n.putsLeft[i]);
        auto done = [value](Writer::Outcome o, Offset at) {
          if (o == Writer::Outcome::acknowledged) now_->acknowledged[at] = "k=" + value;
        };
        act(n, [&] { n.writers[i]->put(0, {{Stream::rules, "k", false, value}}, done, sender(n, static_cast<Id>(i + 1))); });
        push(std::move(n));
      }
    }
    if (s.oldLeft)
      for (std::size_t o = 0; o <= s.old.size(); ++o) {
        State n = copy(s);
        n.oldLeft = false, n.rolled = 0;
        if (o == s.old.size()) n.keepers[0].disk.entries.clear(), n.keepers[0].disk.head = Head{}, n.keepers[0].disk.head->store = 9, n.keepers[0].disk.head->keeper = 1;
        else n.keepers[0].disk = s.old[o];
        n.old.clear();
        restart(n, 0);
        push(std::move(n));
      }
  }
  State copy(const State& s) {
    State n = s;
    for (int i = 0; i < 2; ++i) n.writers[i].emplace(s.writers[i]->copy());
    return n;
  }
  template <class How>
  void act(State& s, How how) {
    now_ = &s;
    how();
    now_ = nullptr;
  }
  void deliver(State& s, const std::string& p, MemoryDisk::Fate fate) {
    Id from = static_cast<Id>(p[0]), to = static_cast<Id>(p[1]);
    auto m = decode({p.data() + 2, p.size() - 2});
    if (!m) return void(out_.found = "a message is not read back");
    act(s, [&] {
      withKeeper(s, static_cast<int>(to) - 1, [&](Keeper& k) { k.receive(0, from, *m, sender(s, to)); }, fate);
      if (to <= 2) s.writers[to - 1]->receive(0, from, *m, sender(s, to));
    });
  }

  void push(State&& s) {
    // No two contents committed at an offset; what is acknowledged is at a majority but for the disk that was put back, and stays.
    for (int i = 0; i < 3; ++i)
      for (const auto& [o, e] : s.keepers[i].disk.entries)
        if (o <= s.keepers[i].disk.head->committed) {
          auto c = s.committed.emplace(o, text(e.first)).first;
          if (c->second != text(e.first)) return void(out_.found = "offset " + std::to_string(o) + ": " + c->second + " and " + text(e.first) + " are committed");
        }
    for (const auto& [o, what] : s.acknowledged) {
      int n = 0;
      for (int i = 0; i < 3; ++i) {
        auto e = s.keepers[i].disk.entries.find(o);
        if (e != s.keepers[i].disk.entries.end() && text(e->second.first) == what) ++n;
      }
      if (n < (s.rolled >= 0 ? 1 : 2)) return void(out_.found = "acknowledged " + what + " at " + std::to_string(o) + " is at " + std::to_string(n));
      auto c = s.committed.find(o);
      if (c != s.committed.end() && c->second != what) return void(out_.found = "acknowledged " + what + ", committed " + c->second);
    }
    // To a fenced writer and by its token nothing more happens but refusals: its answers are not kept under way.
    for (auto p = s.net.begin(); p != s.net.end();) {
      Id to = static_cast<Id>((*p)[1]);
      auto m = decode({p->data() + 2, p->size() - 2});
      bool answer = m && (std::holds_alternative<Tail>(*m) || std::holds_alternative<Kept>(*m) || std::holds_alternative<Fetched>(*m));
      if (answer && (to > 2 || s.writers[to - 1]->phase() == Phase::fenced)) p = s.net.erase(p);
      else ++p;
    }
    std::string print;
    for (const KeeperState& k : s.keepers) {
      auto add = [&](std::uint64_t v) { print += std::to_string(v) + ' '; };
      add(k.life), add(k.doubted), add(k.disk.head->promised), add(k.disk.head->committed), add(k.disk.head->cleaned);
      for (auto [who, o] : k.disk.head->seen) add(who), add(o);
      for (const auto& [o, e] : k.disk.entries) add(o), add(digest(e.first));
      print += '|';
    }
    for (int i = 0; i < 2; ++i) print += s.writers[i]->state() + '|' + std::to_string(s.putsLeft[i]) + ' ' + std::to_string(s.ticksLeft[i]) + '|';
    for (const std::string& p : s.net) print += p;
    for (const auto& [o, what] : s.acknowledged) print += std::to_string(o) + what;
    print += std::to_string(s.crashLeft) + std::to_string(s.oldLeft) + std::to_string(s.old.size());
    XXH128_hash_t h = XXH3_128bits(print.data(), print.size());
    if (!seen_.insert({h.high64, h.low64}).second) return;
    if (!s.acknowledged.empty()) ++out_.acknowledged;
    queue_.push_back(std::make_shared<State>(std::move(s)));
  }

  ExploreTerms terms_;
  KeeperTerms keeper_;
  Explored out_;
  std::deque<std::shared_ptr<State>> queue_;
  std::set<std::pair<std::uint64_t, std::uint64_t>> seen_;
  std::uint64_t turn_ = 0;
  static State* now_;
};
State* Explorer::now_ = nullptr;

}  // namespace

Explored explore(const ExploreTerms& terms) { return Explorer(terms).play(); }

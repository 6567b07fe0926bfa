// The record, measured in process on one machine (no sockets; disk: memory, or LMDB where told): a
// late joiner by the compacted record against the full log, growth with and without compaction,
// time of compaction's steps, memory. Pieces go through the bytes of the wire, each answered at
// once, so the times are of computing only, not of any network.
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <string>

#include "record/memory_log_storage.hpp"
#include "record/subscribers.hpp"
#include "store/record_lmdb.hpp"

using namespace dunlinwick::record;

namespace {

double ToMs() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
double ResidentMb() {
  std::ifstream f("/proc/self/statm");
  double all = 0, resident = 0;
  f >> all >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}
// Drops what it is given: the record's own cost, without a disk's.
class NoDisk final : public LogStorage {
 public:
  bool IsDurable() const override {
    return false;
  }
  std::optional<LogMetadata> metadata() override {
    return std::nullopt;
  }
  void ForEachEntry(const std::function<void(Offset, const Entry*)>&) override {}
  void WriteMetadata(const LogMetadata&) override {}
  void AppendEntries(Offset, const std::vector<Entry>&, const LogMetadata&) override {}
  void RemoveEntries(const std::vector<Offset>&, const LogMetadata&) override {}
  void RestoreEntry(const Entry&) override {}
};
struct Join {
  double bytes = 0;
  double time = 0;
  std::size_t pieces = 0;
  std::size_t entries = 0;
};
Join MakeJoin(Log& log) {
  Join j;
  SubscriberSettings t;
  SubscriptionServer server(log, t, 0);
  std::optional<SubscriptionRequest> want;
  Subscriber::Callbacks out{[&](Id, const SubscriptionRequest& w) { want = w; },
                            [&](const Entry&) { ++j.entries; },
                            [] {
                            }};
  double from = ToMs();
  Subscriber sub(1, 1, {1}, t, 0, 1, 0);
  sub.Tick(0, out);
  while (!sub.IsCaughtUp()) {
    std::string bytes = Encode(*server.HandleRequest(0, *want));
    j.bytes += static_cast<double>(bytes.size());
    ++j.pieces;
    sub.Receive(0, 1, std::get<SubscriptionResponse>(*DecodeSubscriberMessage(bytes)), out);
  }
  j.time = ToMs() - from;
  return j;
}

void Run(std::size_t writes, std::size_t keys) {
  LogSettings t;
  t.max_bytes = std::size_t{2} << 30;
  t.min_compaction_lag = 0;
  double before = ResidentMb();
  std::knuth_b chance(writes + keys);
  NoDisk none;
  Log full(1, t, none, 1);
  std::vector<Entry> batch;
  std::vector<std::string> names;
  for (std::size_t k = 0; k < keys; ++k)
    names.push_back("object/" + std::to_string(k));
  for (std::size_t n = 1; n <= writes; ++n) {
    Entry e;
    e.offset = n;
    e.token = 1;
    e.key = names[n <= keys ? n - 1 : chance() % keys];
    e.value.assign(100, static_cast<char>('a' + n % 26));
    batch.push_back(std::move(e));
    if (batch.size() == 100 || n == writes) {
      full.AppendEntries(0, batch);
      batch.clear();
    }
  }
  full.Commit(writes);
  double full_mb = ResidentMb() - before;
  Join whole = MakeJoin(full);
  std::size_t full_bytes = full.bytes();
  auto plan = full.ProposePlan(1e9, writes, 1);
  double most = 0, sum = 0;
  std::size_t steps = 0;
  if (plan) {
    full.AcceptPlan(*plan);
    for (;;) {
      double from = ToMs();
      if (!full.CompactStep())
        break;
      double took = ToMs() - from;
      most = std::max(most, took);
      sum += took;
      ++steps;
    }
  }
  Join less = MakeJoin(full);
  std::printf(
      "%8zu %7zu | %9.0f %8.1f | %9.0f %8.1f | %6.1f | %9.2f %9.2f %7.1f | %6zu %7.3f %7.3f\n",
      writes, keys, whole.bytes / 1000, whole.time, less.bytes / 1000, less.time,
      whole.bytes / less.bytes, static_cast<double>(full_bytes) / 1e6,
      static_cast<double>(full.bytes()) / 1e6, full_mb, steps,
      steps ? sum / static_cast<double>(steps) : 0.0, most);
}

}  // namespace

int main() {
  std::printf("values of 100 bytes; disk: none; a step: 256 entries; pieces of 32 KB\n");
  std::printf(
      "  writes    keys | full: KB       ms | compact KB      ms |  ratio | log MB: full   compact "
      "  RSS+ |  steps mean ms  max ms\n");
  for (std::size_t writes : {1000, 10000, 100000, 1000000})
    for (std::size_t keys : {1, 100, 10000, 100000})
      if (keys <= writes)
        Run(writes, keys);
  // Growth: compaction whenever it is worth it, against none.
  std::printf(
      "\ngrowth over 1,000 keys, a plan whenever one is worth it, deadShare 0.5 (MB in memory by "
      "the log's own count)\n   writes  without     with   highest with\n");
  {
    LogSettings t;
    t.max_bytes = std::size_t{2} << 30;
    t.min_compaction_lag = 0;
    NoDisk d1, d2;
    Log without(1, t, d1, 1), with(1, t, d2, 1);
    std::knuth_b chance(7);
    std::size_t most = 0;
    for (Offset n = 1; n <= 200000; ++n) {
      Entry e;
      e.offset = n;
      e.key = "object/" + std::to_string(chance() % 1000);
      e.value.assign(100, 'v');
      for (Log* l : {&without, &with}) {
        l->AppendEntries(0, {e});
        l->Commit(n);
      }
      if (auto p = with.ProposePlan(1e9, n, 1))
        with.AcceptPlan(*p);
      with.CompactStep();
      most = std::max(most, with.bytes());
      if (n == 1000 || n == 10000 || n == 50000 || n == 200000)
        std::printf("%9zu %8.2f %8.2f %8.2f\n", static_cast<std::size_t>(n),
                    static_cast<double>(without.bytes()) / 1e6,
                    static_cast<double>(with.bytes()) / 1e6, static_cast<double>(most) / 1e6);
    }
  }
  // On LMDB: each call on the disk of this machine's temporary folder before it returns.
  std::string folder = (std::filesystem::temp_directory_path() / "record_bench.XXXXXX").string();
  if (::mkdtemp(folder.data()) == nullptr)
    return 1;
  {
    dunlinwick::store::LmdbLogStorage disk(folder + "/a", 64 << 20);
    LogSettings t;
    t.min_compaction_lag = 0;
    Log log(1, t, disk, 1);
    std::vector<double> appends, steps;
    for (Offset n = 1; n <= 2000; ++n) {
      Entry e;
      e.offset = n;
      e.key = "object/" + std::to_string(n % 100);
      e.value.assign(100, 'v');
      double from = ToMs();
      log.AppendEntries(0, {e});
      appends.push_back(ToMs() - from);
    }
    log.Commit(2000);
    std::size_t pages = disk.PageBytes();
    log.AcceptPlan({1, 1999, 0});
    for (;;) {
      double from = ToMs();
      if (!log.CompactStep())
        break;
      steps.push_back(ToMs() - from);
    }
    auto q = [](std::vector<double>& v, double p) {
      std::sort(v.begin(), v.end());
      return v[static_cast<std::size_t>(p * static_cast<double>(v.size() - 1))];
    };
    std::printf(
        "\nLMDB: an append of one entry p50 %.3f p99 %.3f ms (2,000); a step of 256 p50 %.3f most "
        "%.3f ms (%zu); ",
        q(appends, 0.5), q(appends, 0.99), q(steps, 0.5), q(steps, 1), steps.size());
    std::printf("pages %zu KB, after %zu KB\n", pages / 1000, disk.PageBytes() / 1000);
  }
  std::filesystem::remove_all(folder);
}

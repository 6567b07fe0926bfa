// A model of the servers that the fronts use: each zone's caches, the parents, the origin, and each
// zone's link. Pure: its caller passes the time and the requests, and it calls back; it has no
// sockets, no clock and one seed. Its behaviour follows the users' specification; where that states
// a range, a number is drawn from it once at the start (`ModelSettings`).
//
// Work is counted in transfers: a server of capacity c sends c responses at a time at the full rate
// of one stream, so that each takes its transfer time; more of them share the capacity evenly. A
// fill runs at up to `fill_rate_multiple` times that rate.
#pragma once
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace dunlinwick::world {

using Ms = double;
using RandomEngine = boost::random::mt19937_64;

double UniformBetween(RandomEngine& random_engine, double low, double high);

// The id of a popular object, the same in every run; `zone` -1: requested in all zones. Other ids
// that begin with f are those of objects of unusual size.
std::string PopularObjectId(int request_class, int zone, std::size_t rank);
std::string ObjectIdFromNumber(std::uint64_t number);

enum class Effect {
  kIdempotent,
  kIdempotentWithKey,
  kExclusive
};
enum class Tier {
  kCache,
  kParent,
  kOrigin
};

struct RequestClassSettings {
  std::string name;
  Effect effect = Effect::kIdempotent;
  double share = 0;           // of the requests
  Ms mean_transfer_time = 0;  // at the full rate of a stream
  double size_log_sigma = 0;  // standard deviation of the logarithm of the size
  double size_scale =
      1;  // makes the mean over the requests as above, whatever sizes popular objects have
  Ms latency_objective = 0;
  Ms max_deadline = 0;
  double latency_objective_per_transfer_time = 0;
  double priority_weight = 1;
  double late_value = 0;
  Ms max_age = 0;  // 0: until purged
  bool uncacheable = false;
  Ms deduplication_window = 0;  // with an idempotency key: how long repeats are recognised
  double min_parts = 1;
  double max_parts = 1;
  Ms min_part_gap = 0;
  Ms max_part_gap = 0;  // between parts
  double zipf_exponent = 1;
  double local_share = 0;   // of the requests: for objects requested in one zone only
  int popular_objects = 0;  // number of objects that have a popularity rank
};

// Constant over a run; whoever fills it draws from the ranges.
struct ModelSettings {
  std::vector<RequestClassSettings> request_classes;
  double stream_kb_per_ms = 8;  // rate of one stream to a client
  double fill_rate_multiple = 3;
  Ms origin_response_time = 40;
  double origin_overload_multiple = 2.5;  // of its capacity over the window: then it stalls
  Ms origin_overload_window = 3000;
  int max_origin_stalls = 2;
  Ms fill_timeout = 2500;
  Ms purge_completion_time = 6000;
  Ms slow_start_window = 1000;
  double cache_slow_start_from = 0.29;
  double cache_slow_start_multiple = 2;
  double parent_slow_start_from = 0.079;
  double parent_slow_start_multiple = 2;
  Ms cache_slow_start_duration = 17000;
  Ms parent_slow_start_duration = 22000;
  double error_rate = 0.0002;
  Ms report_interval = 500;
  Ms report_delay = 150;
};

struct ServerSettings {
  std::string id;
  Tier tier = Tier::kCache;
  int zone = -1;        // whose link its fills share; -1: none
  double capacity = 6;  // concurrent transfers at the full rate
  int max_concurrent = 30;
  int max_queue = 40;
  int max_fills = 30;
  double cache_kb = 1e6;
  Ms one_way_latency = 5;  // from a zone to it
  Ms started_at = 0;       // 0: long ago, past its slow start
};

struct ClientRequest {
  std::string id;
  std::string object;
  std::string source;
  std::string known_tag;  // entity tag of the client's copy; empty: none
  int request_class = 0;
  int part = 0;
  int rank = 0;         // retention priority; 0: a filled copy is not stored
  Ms timeout = 0;       // for the start of processing
  Ms max_copy_age = 0;  // 0: the request class's max_age
  bool coalesce = false;
  bool cache_only = false;    // the source answers only from its cache
  bool pass_through = false;  // a filled copy is not stored
  bool revalidate = false;
};

enum class ReplyStatus {
  kHit,
  kNotModified,
  kMiss,
  kOverloaded,
  kError,
  kDeadlineExceeded
};
enum class CacheStatus {
  kNone,
  kHit,
  kFilled,
  kFilledByOrigin,
  kCoalesced,
  kExpired,
  kSourceRefused,
  kSourceFailed,
  kSourceMiss,
  kNoFillSlot,
  kOriginFailed
};

struct Reply {
  ReplyStatus status = ReplyStatus::kError;
  CacheStatus cache_status = CacheStatus::kNone;
  Ms delay = 0;
  std::string tag;
  Ms issued = 0;
  double size_kb = 0;  // of the body; 0 without one
};

struct Load {
  double utilization = 0;
  double in_flight = 0;
  double hit_ratio = 0;
  double link_utilization = 0;  // of a parent: the number of its pending fetches
};

// Receives the events that the invariant checker needs.
class ModelObserver {
 public:
  virtual void OnExecuted(Ms, const std::string& /*id*/, const std::string& /*object*/) {}
  // A server in its slow start was sent `work` in a window in which its limit was `limit`.
  virtual void OnOverloaded(Ms, const std::string& /*server_id*/, double /*work*/,
                            double /*limit*/) {}
  virtual void OnSlowStartLoad(const std::string& /*server_id*/, double /*share of the limit*/) {}

 protected:
  ~ModelObserver() = default;
};

class Model {
 public:
  using ScheduleFunction = std::function<void(Ms, std::function<void()>)>;
  using ReplyCallback = std::function<void(const Reply&)>;
  struct Usage {
    double origin_kb = 0;       // sent by the origin
    double link_kb = 0;         // received over the zones' links
    double requested_work = 0;  // of finished requests, in ms of transfer
    double wasted_work = 0;     // of cancelled requests, in ms of transfer
  };

  Model(ModelSettings settings, std::uint64_t seed, Ms start, ScheduleFunction schedule,
        ModelObserver& observer);
  ~Model();
  const ModelSettings& settings() const {
    return settings_;
  }
  Usage usage;

  void SetLink(int zone, double capacity);  // in concurrent transfers
  // Adds a new process: with an empty cache, and in slow start if it started late.
  void AddServer(const ServerSettings& server_settings);
  // Removes it with its open requests, whose callbacks are not called.
  void RemoveServer(Ms now, const std::string& server_id);
  bool HasServer(const std::string& server_id) const {
    return servers_.count(server_id) != 0;
  }

  // Returns a ticket for Cancel(), or 0 if there is no such server. `on_reply` is called once,
  // later, unless the request is cancelled or the server removed.
  std::uint64_t Submit(Ms now, const std::string& server_id, ClientRequest client_request,
                       ReplyCallback on_reply);
  void Cancel(Ms now, const std::string& server_id, std::uint64_t ticket);
  Load ReportedLoad(Ms now, const std::string& server_id);  // as the server would report it
  void ApplyPurge(Ms now, bool whole_group, const std::string& object, int group);

  // The fronts have been notified of its start. What arrived before does not count against them.
  void OnStartReported(const std::string& server_id);

  // ---- faults
  void Stall(Ms now, const std::string& server_id, Ms until);  // does nothing before then
  // Multiplies its transfer times; 1: none.
  void SetSlowdown(Ms now, const std::string& server_id, double factor);
  void SetReportDelay(Ms delay) {
    extra_report_delay_ = delay;
  }

  // ---- properties of an object, which follow from its id
  double SizeKb(int request_class, const std::string& object) const;
  static int GroupOf(const std::string& object);

 private:
  struct TransferScheduler;
  struct Server;
  struct PendingRequest;
  struct Copy {
    double size_kb = 0;
    Ms issued = 0;
    Ms last_used = 0;
    int rank = 0;
    int group = 0;
    std::uint64_t object_hash = 0;
  };
  struct Purge {
    bool whole_group = false;
    std::uint64_t object_hash = 0;
    int group = 0;
    Ms time = 0;
  };
  using Key = std::uint64_t;

  Copy* FindCopy(Server& server, Key key, Ms now, Ms max_age);
  void StoreCopy(Server& server, Key key, Copy copy, Ms now);
  void Admit(std::shared_ptr<PendingRequest> pending, Ms now);
  void Start(std::shared_ptr<PendingRequest> pending, Ms now);
  void StartFill(std::shared_ptr<PendingRequest> pending, Ms now);
  void HandleAtSource(std::shared_ptr<PendingRequest> pending, Ms now);
  void ReceiveFromSource(std::shared_ptr<PendingRequest> pending, Ms now, Ms issued,
                         CacheStatus cache_status);
  void SendCopy(std::shared_ptr<PendingRequest> pending, Ms now, double size_kb);
  void OnFillTimeout(std::shared_ptr<PendingRequest> pending, Ms now);
  void HandleAtOrigin(std::shared_ptr<Server> origin, std::shared_ptr<PendingRequest> pending,
                      Ms now);
  void CompleteParentFetch(std::shared_ptr<PendingRequest> fetch, Ms now, Ms issued);
  static std::string TagOf(const PendingRequest& pending);
  void Finish(std::shared_ptr<PendingRequest> pending, Ms now, ReplyStatus status,
              CacheStatus cache_status, Ms issued = 0, double size_kb = 0);
  void ReleaseCapacity(Server& server, std::shared_ptr<PendingRequest> pending, Ms now);
  void RecordSlowStartWork(Server& server, double work, Ms now);
  void Defer(Ms time, std::shared_ptr<PendingRequest> pending,
             void (Model::*handler)(std::shared_ptr<PendingRequest>, Ms));
  bool IsPurged(const Copy& copy, const Server& server, Ms now) const;
  void SampleLoad(const std::string& server_id, std::uint64_t incarnation);
  double CapacityOf(Server& server, Ms now) const;
  double MeanTransferTime(int request_class) const;

  ModelSettings settings_;
  RandomEngine random_engine_;
  Ms start_;
  ScheduleFunction schedule_;
  ModelObserver& observer_;
  Ms extra_report_delay_ = 0;
  int origin_stalls_ = 0;
  std::uint64_t last_id_ = 0;
  std::map<std::string, std::shared_ptr<Server>> servers_;  // emptied by RemoveServer()
  std::vector<std::unique_ptr<TransferScheduler>> links_;   // by zone
  std::deque<Purge> purges_;  // each until it has completed on all servers
};

}  // namespace dunlinwick::world

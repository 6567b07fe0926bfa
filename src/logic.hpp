// The interface of the decisions: what a front is told (events), what it may do (actions), and the
// sheet it reads at start. Times are milliseconds with fractions, on a clock that only moves
// forward.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "wall_time.hpp"

namespace dunlinwick {

enum class Effect {
  kIdempotent,
  kIdempotentWithKey,
  kExclusive
};
enum class Span {
  kEverywhere,
  kZone,
  kCell
};  // which caches drop the repeats of a ticketed pull
enum class Weighing {
  kNone,
  kNominal,
  kRough,
  kLive
};

struct RequestClass {
  Effect effect = Effect::kIdempotent;
  Span span = Span::kEverywhere;
  Ms memory = 0;  // how long the repeats of a ticketed pull are known
  Ms agreed = 0;
  double agreed_stretch =
      0;  // the agreed time grows by this multiple of the pull's own sending time
  Ms expiry = 0;
  double payoff = 1;
  bool streams = false;
  Ms fresh_for = 0;  // 0: until purged
  bool never_kept = false;
};

// What a front may do here.
struct Permits {
  bool probe = false;
  bool cancel = false;
  bool two_attempts_at_once = false;
  bool join = false;
  bool direct = false;
};

// How a machine starts cold, and what all fronts together may send it in any window of the stated
// length.
struct ColdTerms {
  double from = 1;
  double multiple = 0;  // of its capacity at start; of its present capacity
  Ms lasts = 0;
};

// What the deployment hands over at start. The module keeps figures derived from it, not the sheet.
struct StoreSettings {
  std::vector<RequestClass> request_classes;
  int zone = 0;
  int fronts = 1;         // in all zones
  int zone_replicas = 1;  // fronts serving this zone
  int parent_kind = -1;
  int origin_kind = -1;
  bool asks_for_list = false;  // list changes come only when asked for
  Weighing weighing = Weighing::kNone;
  Permits may;
  Ms longest_retry_after = 0;  // 0: no retry time may be named
  int most_attempts = 1;
  int places = 0;        // pulls that clients can have open here at once; 0: not told
  bool lateral = false;  // a cache may be filled from another of its zone
  double stream_kb_per_ms = 0;
  double link_kb_per_ms = 0;  // of this zone; 0: not told
  int link_report = -1;  // place in the answers' reports of how full that link is; -1: not reported
  bool remarks = true;   // answers tell what became of a fill; else at most whether they were hits
  Ms purge_done = 0;
  ColdTerms cold_store;
  ColdTerms cold_parent;
  Ms cold_window = 0;
};

// ---- what happened
enum class Listing {
  kChanges,
  kWhole,
  kRemembered,
  kFailed
};
enum class Standing {
  kDraining,
  kGone,
  kReady
};
struct ListEntry {
  std::uint32_t cache = 0;
  int zone = 0;
  int kind = 0;
  int cell = 0;
  Standing standing = Standing::kReady;
  double weight = 1;
  WallTime started_at;  // 0: long ago
  /// When this front was first told of that start. None: the stamp is of this front's own clock, as
  /// on the bench.
  std::optional<NotificationTimes> notified;
};
struct ListNews {
  Listing listing = Listing::kChanges;
  std::vector<ListEntry> entries;
};
struct RequestCame {
  std::uint32_t request = 0;
  int request_class = 0;
  std::uint64_t object = 0;
  int part = 0;
  int group = 0;
  Ms ttl = 0;
  double size_kb = 0;  // 0: not told
};
enum class Ending {
  kFinished,
  kError,
  kFull,
  kTimedOut,
  kNoConnection,
  kBroken,
  kCancelled,
  kSuperseded,
  kMiss
};
enum class Remark {
  kNone,
  kHit,
  kFilled,
  kFilledByOrigin,
  kJoined,
  kAged,
  kSourceRefused,
  kSourceLost,
  kSourceLacks,
  kNoFillPlace,
  kOriginFailed
};
struct AttemptStarted {
  std::uint32_t request = 0;
  std::uint32_t cache = 0;
  int attempt = 0;
};
struct AttemptEnded {
  std::uint32_t request = 0;
  std::uint32_t cache = 0;
  int attempt = 0;
  Ending ending = Ending::kFinished;
  Ms took = 0;
  bool final = false;
  Remark remark = Remark::kNone;
  Ms waited = 0;      // until the first byte of a fill came, or it failed
  int fell_with = 0;  // legs told before it that ended with the same connection
  bool ours = false;  // for want of something of this front's own, such as a descriptor: no sign of
                      // the machine
  std::vector<float> report;
};
struct ClientLeft {
  std::uint32_t request = 0;
};
// The client waits no longer than this for an answer, though it said more at first: the answer to
// another request of its has to follow this one's in time.
struct DeadlineShortened {
  std::uint32_t request = 0;
  Ms ttl = 0;  // from now on
};
struct WakeUp {
  std::uint64_t handle = 0;
};
struct ProbeEnded {
  std::uint32_t cache = 0;
  bool answered = false;
  Ms took = 0;
  std::vector<float> report;
};
struct Purged {
  bool whole_group = false;
  std::uint64_t object = 0;
  int group = 0;
  Ms ago = 0;
  // A recall of the fleet's record binds until it is lifted, since no machine is told of it but by
  // the ages asked for; of `offering`, where it is not below 0, whole. None comes on the bench's
  // platform.
  bool standing = false;
  bool lifted = false;
  int request_class = -1;
  /// Where the notice says when, by another machine's clock, and not how long ago: in place of
  /// `ago`.
  struct Stamped {
    WallTime stamp;
    NotificationTimes notified;
  };
  std::optional<Stamped> stamped;
};
struct PeerSaid {
  std::uint32_t peer = 0;
  std::string text;
};
// The fleet's verdict as it stands: which share of this front's pulls goes to which zone's caches,
// by zone; all to the own where it is empty, as at start. Comes only where a front has a fleet
// (src/failover/).
struct ZoneShares {
  std::vector<double> shares;
};
// Copies older than so many ms may have been recalled without this front's having heard of it: none
// is to be given; 0: no such limit, as at start. Comes only where a front follows the fleet's
// record (src/record/).
struct NoOlder {
  Ms than = 0;
};
// The share of new pulls that is let in, by offering; empty: all, as at start. Comes only while a
// fleet comes back from a loss (src/recovery/).
struct LetIn {
  std::vector<double> by_request_class;
  Ms come_back = 0;  // told to what is not
};
using Event =
    std::variant<ListNews, RequestCame, AttemptStarted, AttemptEnded, ClientLeft, DeadlineShortened,
                 WakeUp, ProbeEnded, Purged, PeerSaid, ZoneShares, NoOlder, LetIn>;

// ---- what is to be done
struct SendAttempt {
  std::uint32_t request = 0;
  std::uint32_t cache = 0;
  std::uint32_t source = 0;  // source == cache: no fill
  bool join = false;
  bool renew = false;
  bool held_only = false;  // heldOnly: the source fetches nothing itself
  int rank = 0;
  Ms oldest = 0;        // 0: as old as the offering allows
  Ms timeout = 0;       // 0: till the client quits
  bool proven = false;  // only over a connection that has just shown that it carries
  Ms not_after = 0;  // from then on it might take effect a second time: not begun any more, it ends
                     // as moot; 0: no limit
};
struct CancelAttempt {
  std::uint32_t request = 0;
  int attempt = 0;
};
enum class RefusalReason {
  kDeadline,     // its time is up
  kAdmission,    // the fleet comes back from a loss, and lets in a share only
  kPlaces,       // clients' places are short, and it earns little for the time it would take one
  kNoEndpoint,   // no server may be asked
  kSlowStart,    // the servers that may be asked are in slow start, and their budgets are spent
  kUtilisation,  // the servers are fuller than it can bear
  kLink,         // the link is fuller than it can bear, and it has to be filled
  kNoSource,     // no source may fill it
  kAttempts      // no further attempt is allowed, or would help
};
constexpr std::size_t kRefusalReasons = 9;
// The size of a request beside the mean of its class.
enum class SizeBand {
  kSmall,  // up to half of it
  kUsual,
  kLarge  // over twice as much
};
constexpr std::size_t kSizeBands = 3;
struct DeclineRequest {
  std::uint32_t request = 0;
  Ms retry_after = 0;
  RefusalReason reason = RefusalReason::kDeadline;
  SizeBand size = SizeBand::kUsual;
};
struct AbandonRequest {
  std::uint32_t request = 0;
};
struct WakeMe {
  Ms at = 0;
  std::uint64_t handle = 0;
};
struct ProbeCache {
  std::uint32_t cache = 0;
};
struct FollowList {};
struct WriteLine {
  std::string text;
};
// A machine was set aside or is back: what this front holds of it, for whoever sums it up for the
// fleet.
struct TellHealth {
  std::uint32_t cache = 0;
  bool ejected = false;
};
using Action = std::variant<SendAttempt, CancelAttempt, DeclineRequest, AbandonRequest, WakeMe,
                            ProbeCache, FollowList, WriteLine, TellHealth>;

class Router {
 public:
  Router(const StoreSettings& settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  // The one entry point: what happened at `now` in, what is to be done out, in order.
  std::vector<Action> Handle(Ms now, const Event& event);

 private:
  struct Mind;
  std::unique_ptr<Mind> mind_;
};

}  // namespace dunlinwick

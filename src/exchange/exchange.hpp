// Where the clients' side and the caches' side meet: the pulls and legs in flight, and the
// decisions. Neither side knows the other; both know what is declared here.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "exchange/counters.hpp"
#include "logic.hpp"
#include "loop/connection.hpp"

namespace dunlinwick::exchange {

constexpr std::size_t kMostBytes = 240000,
                      kMostWritten = 48000;  // of an object; of what a client writes

// A pull as its client worded it. Id, names, tag and body go on as they are.
struct Ask {
  std::string id;
  std::string request_class;
  std::string object;
  std::string part;
  std::string tag;
  std::string body;
  std::string key;  // by which repeats are known, where its client names one
  int request_class_at = 0;
  int part_number = 0;
  int group = 0;
  Ms ttl = 0;
  double size_kb = 0;
};

// The client side's end of a pull: it is told one final answer at most.
class ResponseSink {
 public:
  /// Looks whether the client has left, though nothing was told of it yet. False where that can't
  /// be seen.
  virtual bool HasLeft() {
    return false;
  }
  virtual void Finished(const std::string& tag, std::string body) = 0;
  virtual void Unchanged(const std::string& tag) = 0;
  virtual void Declined(Ms retry_after) = 0;
  virtual void Abandoned() = 0;
  // Of a streamed answer, in place of finished(): how long it is, its bytes, and that it is whole
  // or broke.
  virtual void Begun(const std::string& tag, std::size_t length) = 0;
  virtual void More(std::string_view bytes) = 0;
  virtual void Completed() = 0;
  virtual void BrokeOff() = 0;

 protected:
  ~ResponseSink() = default;
};

struct AttemptKey {
  std::uint32_t request = 0;
  int attempt = 0;
};

// What a cache said to a leg, without the bytes.
struct Word {
  Ending ending = Ending::kFinished;
  bool unchanged = false;  // the client's copy is the one
  Remark remark = Remark::kNone;
  Ms waited = 0;
  std::string tag;
  bool dated = false;  // it says when the origin gave out its copy
  std::vector<float> report;
};

// The caches' side as the exchange sees it. What it has to say of a leg may come from within
// send().
class CacheSide {
 public:
  // Returns the connection's number, 0 if it has none. `avoid`: connections on which an earlier
  // answer to this pull may still come.
  virtual std::uint64_t Send(AttemptKey key, const Ask& ask, const SendAttempt& how,
                             const std::vector<std::uint64_t>& avoid) = 0;
  virtual void GiveUp(AttemptKey key, const Ask& ask, std::uint32_t cache) = 0;
  // Takes back an attempt of which not a byte has left this process. False: it may have left, and
  // stays.
  virtual bool TakeBack(AttemptKey key, const Ask& ask, std::uint32_t cache) = 0;
  virtual void Probe(std::uint32_t cache) = 0;
  virtual void list(const ListEntry& entry, const std::string& id, const loop::Address& at) = 0;
  virtual void Forget(std::uint32_t cache) = 0;  // it left long ago

 protected:
  ~CacheSide() = default;
};

struct Listed {
  ListEntry entry;
  std::string id;
  loop::Address at{};
};

// What a leg's connection's end means to the decisions: this is the one place that says so.
Ending EndingOf(loop::DisconnectReason how, bool written_whole);

// What decides: the module, or what a test puts around it.
using Decider = std::function<std::vector<Action>(Ms now, const Event& event)>;
Decider ModuleFor(const StoreSettings& settings, std::uint64_t seed);

class Exchange {
 public:
  Exchange(loop::Loop& loop, const StoreSettings& settings, Decider decides);
  Exchange(loop::Loop& loop, const StoreSettings& settings, std::uint64_t seed);
  void Meet(CacheSide& caches) {
    caches_ = &caches;
  }
  Counters counters;
  bool Ready() const {
    return listed_;
  }
  std::size_t OpenRequests() const {
    return requests_.size();
  }

  // from the clients' side
  std::uint32_t OnRequest(Ask ask, ResponseSink& response_sink);  // the answer may come from within
  void OnClientLeft(std::uint32_t request);
  /// The final answer is wanted by `deadline_at`, if that is earlier than what was asked for at
  /// first. An answer that has begun to go out goes on.
  void ShortenDeadline(std::uint32_t request, Ms deadline_at);
  bool IsOpen(std::string_view id) const;  // a pull of that id is owed its answer

  // from the caches' side
  void AnswerBegun(AttemptKey key, const Word& word, std::size_t length);
  void AnswerBytes(AttemptKey key, std::string_view bytes);
  void AnswerWhole(AttemptKey key, const Word& word);
  // `fellWith`: legs told before it that fell with the same connection.
  void AttemptLost(AttemptKey key, loop::DisconnectReason how, bool written_whole,
                   int fell_with = 0);
  void OnProbeEnded(std::uint32_t cache, bool answered, Ms took, std::vector<float> report);
  /// The one check of every attempt, asked in the moment before its first byte is written: the time
  /// left until the attempt's timeout or its client's deadline, whichever comes first. 0: it must
  /// not be begun, since its client has left or has an answer, the time is up, or a repeat would no
  /// longer be known as one. Infinite for a request not of this exchange.
  Ms TimeLeft(AttemptKey key);
  void Lapsed(AttemptKey key);  // it was not begun: nothing of it has left
  void Moved(AttemptKey key,
             std::uint64_t via);  // it waited on a connection that ended, and waits on another

  // from the notice board
  // `up_to_date_at`: the last moment, on this front's clock, at which the notice board had nothing
  // that was not passed on here, so that what is told was announced after it; none: of the start.
  void ListCame(bool whole, const std::vector<Listed>& entries,
                std::optional<Ms> up_to_date_at = std::nullopt);
  void PurgeCame(bool whole_group, std::string_view object, int group, WallTime at,
                 std::optional<Ms> up_to_date_at = std::nullopt);

  // from the fleet's verdict
  void SharesCame(std::vector<double> by_zone) {
    Tell(ZoneShares{std::move(by_zone)});
  }
  // from the fleet's record and its recovery
  void RecallCame(std::string_view object, int group, int request_class, bool lifted, Ms ago);
  void LimitAge(Ms than);
  // The rules are another sheet's from now on: new pulls go by its offerings, and what decides is
  // called at once. Which of them are never kept, or stream, holds for the life of a process: a
  // pull under way must not be another kind of pull.
  void Turned(const StoreSettings& settings) {
    request_classes_ = settings.request_classes;
    Tell(PeerSaid{});
  }
  void Admit(std::vector<double> by_request_class, Ms come_back) {
    Tell(LetIn{std::move(by_request_class), come_back});
  }

 private:
  struct Attempt {
    std::uint32_t cache = 0;
    std::uint64_t via = 0;
    std::uint32_t source = 0;
    Ms sent_at = 0;
    Ms not_after = 0;
    Ms deadline = 0;  // its timeout, or its client's deadline if that comes first
    bool out = true;
    std::uint64_t timer = 0;
    std::uint64_t limit = 0;  // of its patience; of notAfter
    std::string bytes;
  };
  struct Request {
    Ask ask;
    ResponseSink* response_sink =
        nullptr;  // null once it has its final answer, or the client has left
    Ms expires_at = 0;
    int streaming = -1;  // the leg that the client is being sent
    std::vector<Attempt> attempts;
  };

  static bool IsOut(const Attempt& attempt) {
    return attempt.out;
  }
  void Tell(Event event);
  ResponseSink* Close(std::uint32_t request);  // no answer is owed from here on
  void Act(const SendAttempt& a);
  void Act(const CancelAttempt& a);
  void Act(const DeclineRequest& a);
  void Act(const AbandonRequest& a);
  void Act(const WakeMe& a);
  void Act(const ProbeCache& a);
  void Act(const FollowList&) {}  // the notice board is always followed
  void Act(const WriteLine& a);
  void Act(const TellHealth&) {}  // heard where the module is wrapped (src/front/front.cpp)
  Request* FindRequest(std::uint32_t request);
  Attempt* AttemptOut(AttemptKey key);
  void EndAttempt(AttemptKey key, Ending ending, const Word& word = {}, int fell_with = 0,
                  bool ours = false);
  // Ends those attempts of a request that still wait here; `which` says of each whether it is
  // meant.
  template <class Which>
  void TakeBack(std::uint32_t request, Which which);
  template <class Which>
  void TakeBackAll(Which which);
  void TakeBackPurged(std::string_view object, int group, int request_class);
  void Settle(std::uint32_t request);
  void count(Ending ending);
  struct Known {
    std::uint32_t number = 0;
    Ms gone_at = 0;              // 0: listed
    WallTime started_at;         // as last listed; 0: never a late start
    NotificationTimes notified;  // first, of that start
  };
  Known& NumberOf(const std::string& machine);
  void ForgetGone();

  loop::Loop& loop_;
  Decider decides_;
  std::vector<RequestClass> request_classes_;
  CacheSide* caches_ = nullptr;
  bool listed_ = false;
  bool telling_ = false;
  std::uint32_t last_request_ = 0;
  std::deque<Event> untold_;          // emptied before the outermost call returns
  std::vector<std::uint32_t> ended_;  // the same: pulls that may now be forgotten
  std::map<std::uint32_t, Request>
      requests_;  // emptied when a pull has its answer and its last leg is in
  std::map<std::string, Known>
      numbers_;  // machines, by id; emptied by news, some time after they have gone
  std::unordered_set<std::uint32_t> taken_;  // the numbers in `numbers_`, emptied with it
};

}  // namespace dunlinwick::exchange

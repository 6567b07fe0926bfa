// The router's entry point: Handle() passes each event to the component that it concerns, and
// returns the actions to carry out, in order. Nothing in this folder reads a clock, does I/O, or
// knows the names of endpoints or objects: all have numbers. docs/design.md describes the
// design, and where this code deviates from it. Comments on a rule say what it guards against, and
// what it costs.
#include "logic/request_processor.hpp"

namespace dunlinwick {

struct Router::Impl {
  logic::EventContext event;
  const logic::PolicySettings settings;
  logic::Requests requests;
  const logic::PolicyContext context{event, settings, requests};
  logic::Purges purges{context};
  logic::TrafficStatistics statistics{context, purges};
  logic::EndpointList endpoints{context, {}, statistics};
  logic::Load load{context, endpoints};
  logic::SlowStart slow_start{context, load};
  logic::Health health{context, load};
  logic::EndpointSelector selector{context, load, slow_start, health};
  logic::SourceSelector sources{context, purges, load, selector};
  logic::RequestProcessor processor{context, statistics, load, selector, sources, {context, load}};

  Impl(const DeploymentSettings& deployment, std::uint64_t seed)
      : event{.random_engine = std::knuth_b(seed)}, settings(deployment) {
    statistics.Initialize(deployment.request_classes);
  }

  void HandleEvent(const EndpointListUpdate& update) {
    endpoints.Apply(update) ? load.EstimateLink() : void();
  }
  void HandleEvent(const RequestArrived& arrival) {
    processor.HandleArrival(arrival);
  }
  void HandleEvent(const AttemptEnded& ended) {
    processor.HandleAttemptEnded(ended);
  }
  void HandleEvent(const ProbeEnded& probe) {
    health.HandleProbe(probe);
  }
  void HandleEvent(const Purged& purge) {
    purges.Record(purge);
  }
  void HandleEvent(const ZoneTrafficWeights& traffic) {
    selector.SetZoneWeights(traffic);
  }
  void HandleEvent(const MaxCopyAge& limit) {
    purges.max_copy_age = limit.age;
  }
  void HandleEvent(const AdmissionRamp& ramp) {
    selector.admission_ramp = ramp;
  }
  void HandleEvent(const PeerMessageReceived&) {}  // fronts exchange no messages this way
  void HandleEvent(const ResponseStarted& started) {
    // The client receives the answer of that attempt from now on: only the attempt's end decides
    // about the request.
    logic::Request* request = requests.Find(started.request);
    if (request && !request->ended) {
      request->streaming = true;
      processor.CancelAttempts(*request, started.attempt);
    }
  }
  void HandleEvent(const ClientLeft& left) {
    logic::Request* request = requests.Find(left.request);
    if (request && !request->ended)
      processor.Finish(*request);
    if (request)
      requests.EraseIfDone(*request);
  }
  void HandleEvent(const DeadlineShortened& shortened) {
    if (logic::Request* request = requests.Find(shortened.request); request && !request->ended)
      processor.SetDeadline(*request, shortened.time_left);
  }
  void HandleEvent(const TimerFired& timer) {
    if (timer.handle >> 56 == logic::kListTimer)
      event.actions->push_back(WatchEndpointList{});
    if (timer.handle >> 56 == logic::kEndpointTimer)
      health.HandleTimer(timer);
    if (timer.handle >> 56 == logic::kRequestTimer)
      processor.HandleTimer(static_cast<std::uint32_t>(timer.handle));
  }
};

Router::Router(const DeploymentSettings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;

std::vector<Action> Router::Handle(Ms now, const Event& event) {
  std::vector<Action> actions;
  impl_->event.now = now;
  impl_->event.actions = &actions;
  std::visit([&](const auto& concrete_event) { impl_->HandleEvent(concrete_event); }, event);
  return actions;
}

}  // namespace dunlinwick

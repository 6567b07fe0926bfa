#include "drill/run.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "drill/scene.hpp"
#include "drill/site.hpp"

namespace dunlinwick::drill {

using rules::Observation;
using rules::ObservationKind;
using world::Tier;

namespace {

constexpr Ms kSecond = 1000;
// Hosts by what stands there.
constexpr std::uint16_t kMembersPort = 7400;
constexpr std::uint32_t kFrontNet = 0x000000, kStoreNet = 0x010000, kHubNet = 0x020000,
                        kDiscoveryHost = 0x030001, kClientNet = 0x040000;

class Stage final : world::ModelObserver {
 public:
  Stage(const Script& script, const Options& options, Scene& scene)
      : script_(script),
        options_(options),
        site_(SiteFor(script, options.seed)),
        scene_(scene),
        net_(scene.net()),
        start_(scene.now()),
        clients_from_(start_ +
                      (scene.net() ? 500 : 2000)),  // real processes take a moment to start
        end_(clients_from_ + script.length),
        random_engine_(options.seed * 3 + 2),
        checker_(LimitsFor(script, options.seed)),
        model_(
            site_.terms, options.seed * 5 + 3, start_,
            [this](Ms when, std::function<void()> what) { scene_.at(when, std::move(what)); },
            *this) {
    if (net_)
      net_->SetPartialIoShare(script.choppy);
    if (net_)
      LayMap();
    for (std::size_t k = 0; k < site_.link_capacity.size(); ++k)
      model_.SetLink(static_cast<int>(k), site_.link_capacity[k]);
    std::uint32_t number = 0;
    for (const world::ServerSettings& make : site_.makes) {
      ++number;
      std::uint32_t host = (make.tier == Tier::kCache ? kStoreNet : kHubNet) + number;
      place(host, make.tier == Tier::kCache ? make.zone + 1 : 0);
      boxes_.push_back(std::make_unique<Box>());
      Box& b = *boxes_.back();
      b.make = make;
      b.host = host;
      b.at = scene_.address(host, 5050);
      Raise(b);
    }
    number = 0;
    for (const SiteFront& f : site_.fronts) {
      ++number;
      hosts_.push_back(std::make_unique<Host>());
      Host& h = *hosts_.back();
      h.front = f;
      h.host = kFrontNet + number;
      h.at = scene_.address(h.host, 8080);
      h.discovery_at = scene_.address(kDiscoveryHost, static_cast<std::uint16_t>(4222 + number));
      place(h.host, f.store + 1);
      h.discovery_process = &scene_.Start(kDiscoveryHost, "board-" + std::to_string(number));
      h.discovery_process->act([&] {
        h.discovery = std::make_unique<DiscoverySpeaker>(
            h.discovery_process->loop(), h.discovery_at, 2,
            [this, &h](std::uint64_t event) { notified(h, event); });
      });
    }
    for (auto& h : hosts_)
      begin(*h);
    for (std::size_t k = 0; k < site_.traffic.size(); ++k) {
      std::uint32_t host = kClientNet + static_cast<std::uint32_t>(k) + 1;
      place(host, script_.stores + 1 + static_cast<int>(k));
      Player& p = scene_.Start(host, "clients-" + std::to_string(k + 1));
      crowds_.push_back({&p, nullptr});
      ClientTerms terms;
      terms.requests_per_s = site_.requests_per_s * site_.traffic[k];
      terms.retries = script.retries;
      terms.wait = script.retry_wait;
      terms.swing = script.swing;
      terms.impatient = script.impatient;
      terms.honour = site_.honour;
      terms.notice = site_.client_notice;
      terms.bytes_per_kb = script.bytes_per_kb;
      std::vector<Clients::FrontAt> fronts;
      for (auto& h : hosts_)
        if (h->front.store == static_cast<int>(k))
          fronts.push_back({h->front.name, h->at});
      p.act([&] {
        crowds_.back().clients = std::make_unique<Clients>(
            p.loop(), model_, Teller(), outcome_.takings, terms, static_cast<int>(k), fronts,
            options.seed * 1000 + 17 * k + 5, clients_from_, end_);
        crowds_.back().clients->seen = [this](const std::string&) {
          Occur(Moment::kHandoverAsked);
        };
      });
    }
    for (std::size_t i = 0; i < script.troubles.size(); ++i) {
      const Trouble& t = script.troubles[i];
      if (t.when == Moment::kNone)
        scene_.at(clients_from_ + t.at, [this, &t] { Befall(t); });
    }
    armed_.assign(script.troubles.size(), true);
  }

  ~Stage() {
    for (auto& h : hosts_) {
      h->served.reset();
      scene_.Vanish(*h->discovery_process);
      h->discovery.reset();
    }
    for (auto& b : boxes_) {
      if (b->process)
        scene_.Vanish(*b->process);
      b->speaker.reset();
    }
    for (auto& c : crowds_) {
      scene_.Vanish(*c.process);
      c.clients.reset();
    }
  }

  Outcome Play() {
    auto began = std::chrono::steady_clock::now();  // for the report's speed alone
    constexpr Ms kAfter = 6000;                     // the longest expiry and a little
    for (Ms t = start_; t < end_ + kAfter;) {
      t = std::min(t + kSecond, end_ + kAfter);
      scene_.RunUntil(t);
      Look();
      if (options_.progress)
        options_.progress((t - start_) / (end_ + kAfter - start_));
      if (options_.stop_at_breach && !checker_.AllHold())
        break;
    }
    checker_.Finish(scene_.now());
    Outcome o = std::move(outcome_);
    o.drill = script_.name;
    o.seed = options_.seed;
    if (net_) {
      o.digest = net_->Digest();
      o.events = net_->EventCount();
    }
    o.played = scene_.now() - start_;
    o.took_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    o.breaches = checker_.Violations();
    for (rules::Violation& b : o.breaches)
      b.at -= clients_from_;
    for (int i = 0; i < rules::kInvariantCount; ++i)
      o.counts[i] = checker_.Count(static_cast<rules::Invariant>(i));
    o.nearest = checker_.margins();
    o.bytes = model_.usage;
    o.asked_kb = o.bytes.requested_work * site_.terms.stream_kb_per_ms;
    for (auto& one : site_.terms.request_classes)
      o.request_classes.push_back(one.name);
    return o;
  }

 private:
  struct Box {  // an address at which a machine stands
    world::ServerSettings make;
    std::uint32_t host = 0;
    loop::Address at{};
    Player* process = nullptr;
    std::unique_ptr<MachineSpeaker> speaker;
    bool listed = true;
    bool notified_of_start = true;
    std::string state = "in_service";
    int successor = 0;
  };
  struct Host {  // an address at which a front stands
    SiteFront front;
    std::uint32_t host = 0;
    loop::Address at{};
    loop::Address discovery_at{};
    Player* discovery_process = nullptr;
    std::unique_ptr<DiscoverySpeaker> discovery;
    std::unique_ptr<Served> served;
    int starts = 0;
    bool stopping = false;
  };
  struct Crowd {
    Player* process;
    std::unique_ptr<Clients> clients;
  };
  struct Event {       // of the boards
    Observation fact;  // as a front is told it; who and when are filled in
    Ms published_at = 0;
    std::string json;
  };

  Tell Teller() {
    return [this](Observation f) {
      See(std::move(f));
    };
  }
  void See(Observation f) {
    outcome_.attempts += f.kind == ObservationKind::kAttemptReceived;
    if (options_.trace)
      *options_.trace << rules::FormatTraceLine(f) << "\n";
    checker_.HandleObservation(f);
  }

  std::uint32_t Addressed(std::uint32_t host) {
    return ntohl(scene_.address(host, 1).sin_addr.s_addr);
  }
  void place(std::uint32_t host, int site) {
    if (net_)
      net_->SetSite(Addressed(host), site);
  }
  void LayMap() {
    int stores = script_.stores;
    auto join = [&](int a, int b, Ms latency) {
      stage::Link w;
      w.latency = latency;
      w.jitter = 0.25;
      net_->SetLink(a, b, w);
      net_->SetLink(b, a, w);
    };
    join(0, 0, site_.store_way);
    for (int a = 1; a <= stores; ++a) {
      join(0, a, site_.hub_way);
      join(a, a, site_.store_way);
      join(a, stores + a, site_.client_way);
      for (int b = 1; b < a; ++b)
        join(a, b, 2 * site_.hub_way);
    }
  }

  // ---- machines

  void Raise(Box& b) {
    b.process = &scene_.Start(b.host, b.make.id);
    model_.AddServer(b.make);
    MachineSpeaker::Setup setup;
    setup.id = b.make.id;
    setup.at = b.at;
    setup.bytes_per_kb = script_.bytes_per_kb;
    setup.seed = options_.seed * 77 + b.host + static_cast<std::uint64_t>(b.successor);
    for (auto& o : site_.terms.request_classes)
      setup.request_classes.push_back(o.name);
    Player* p = b.process;
    p->act([&] {
      b.speaker = std::make_unique<MachineSpeaker>(
          p->loop(), [p](const std::function<void()>& what) { p->act(what); }, model_, Teller(),
          std::move(setup));
    });
  }
  void Fell(Box& b, bool silently) {
    if (!b.process)
      return;
    model_.RemoveServer(scene_.now(), b.make.id);
    if (silently) {
      scene_.Vanish(*b.process);
      See(Unseen(12000));
    } else
      scene_.Kill(*b.process);
    b.speaker.reset();
    b.process = nullptr;
  }
  Observation Unseen(Ms lasts) {
    Observation f;
    f.kind = ObservationKind::kUnobserved;
    f.at = scene_.now();
    f.value = scene_.now() + lasts;
    return f;
  }
  // A new process there, cold and empty.
  void Rise(Box& b) {
    if (b.process)
      return;
    b.make.started_at = scene_.now();
    b.notified_of_start = false;
    Raise(b);
    Occur(Moment::kColdStart);
    list(b, "in_service", site_.add_notice);
  }
  void list(Box& b, const char* state, Ms after) {
    Event e;
    e.fact.kind = ObservationKind::kEndpointUpdated;
    e.fact.subject = b.make.id;
    e.fact.state = std::string(state) == "in_service"    ? "ready"
                   : std::string(state) == "terminating" ? "draining"
                                                         : "gone";
    e.json = "{\"pool\":{\"version\":1,\"full\":false,\"servers\":[" +
             Listing(b.make, stage::FormatAddress(b.at), state) + "]}}";
    scene_.at(scene_.now() + after,
              [this, &b, e = std::move(e), state = std::string(state)]() mutable {
                b.state = state;
                if (state == "in_service" && !std::exchange(b.notified_of_start, true))
                  model_.OnStartReported(b.make.id);
                states_[e.fact.subject] = {&b, state, e.json};
                Publish(std::move(e));
              });
  }

  // ---- boards

  void Publish(Event e) {
    e.published_at = scene_.now();
    events_.push_back(std::move(e));
    for (auto& h : hosts_) {
      std::string json = events_.back().json;
      h->discovery_process->act([&] { h->discovery->Publish(std::move(json)); });
    }
    if (events_.back().fact.state == "draining")
      Occur(Moment::kDrainNotified);
    if (events_.back().fact.kind == ObservationKind::kPurgeAnnounced)
      Occur(Moment::kPurgeNotified);
  }
  void notified(Host& h, std::uint64_t number) {
    Observation f = events_[number - 2].fact;
    f.actor = h.front.name;
    f.at = scene_.now();
    See(std::move(f));
  }

  // What a front is handed at its start: the list as it is, and the purges that are not yet done.
  std::string Known(Host& h) {
    std::string servers;
    for (auto& b : boxes_)
      if (b->state != "terminated" && b->listed)
        servers += (servers.empty() ? "" : ",") +
                   Listing(b->make, stage::FormatAddress(b->at), b->state.c_str());
    std::string rev = std::to_string(events_.size() + 1);
    std::string watch_events = "{\"rev\":" + rev +
                               ",\"pool\":{\"version\":1,\"full\":true,\"servers\":[" + servers +
                               "]}}";
    for (auto& b : boxes_) {
      if (b->state == "in_service" || !b->listed)
        continue;
      Observation f;
      f.kind = ObservationKind::kEndpointUpdated;
      f.at = scene_.now();
      f.actor = h.front.name;
      f.subject = b->make.id;
      f.state = b->state == "terminating" ? "draining" : "gone";
      See(std::move(f));
    }
    for (const Event& e : events_) {
      if (e.fact.kind != ObservationKind::kPurgeAnnounced ||
          e.fact.value < scene_.now() - site_.terms.purge_completion_time)
        continue;
      watch_events += ",{\"rev\":" + rev + "," + e.json.substr(1);
      Observation f = e.fact;
      f.at = scene_.now();
      f.actor = h.front.name;
      See(std::move(f));
    }
    return "{\"rev\":" + rev + ",\"notices\":[" + watch_events + "]}";
  }

  // ---- fronts

  void begin(Host& h) {
    if (h.served)
      return;
    Observation up;
    up.kind = ObservationKind::kFrontUp;
    up.at = scene_.now();
    up.actor = h.front.name;
    See(std::move(up));
    h.stopping = false;
    std::uint64_t seed = options_.seed * 7919 + h.host * 31 + static_cast<std::uint64_t>(h.starts);
    std::string fleet;
    if (script_.in_common) {
      std::vector<std::string> members;
      for (auto& one : hosts_)
        members.push_back(stage::FormatAddress(scene_.address(one->host, kMembersPort)));
      fleet = FleetBlock(site_, h.front, members);
    }
    std::string text = Configuration(script_, site_, h.front, stage::FormatAddress(h.at),
                                     stage::FormatAddress(h.discovery_at), seed, Known(h), fleet);
    h.served = scene_.Serve(h.host, h.front.name, text, script_.descriptors,
                            options_.breaker ? options_.breaker() : nullptr);
    if (h.starts++ > 0)
      Occur(Moment::kFrontBack);
  }
  void Kill(Host& h) {
    if (!h.served)
      return;
    Observation down;
    down.kind = ObservationKind::kFrontDown;
    down.at = scene_.now();
    down.actor = h.front.name;
    See(std::move(down));
    h.served.reset();
  }
  // Fronts that were asked to stop and have: their successors start.
  void Look() {
    for (auto& h : hosts_)
      if (h->stopping && h->served && h->served->Ended()) {
        Kill(*h);
        begin(*h);
        for (Clients* c : clients())
          c->Stopping(h->front.name, 1e18, 1e18);
      }
  }

  // ---- what the world does

  void OnExecuted(Ms at, const std::string& id, const std::string& thing) override {
    Observation f;
    f.kind = ObservationKind::kExecuted;
    f.at = at;
    f.request = id;
    f.object = thing;
    f.actor = "office";
    See(std::move(f));
  }
  void OnSlowStartLoad(const std::string& machine, double share) override {
    for (auto& b : boxes_)
      if (b->make.id == machine && !b->notified_of_start)
        return;
    Observation f;
    f.kind = ObservationKind::kSlowStartLoad;
    f.at = scene_.now();
    f.value = share;
    checker_.HandleObservation(f);
  }
  void OnOverloaded(Ms at, const std::string& machine, double work, double limit) override {
    for (auto& b : boxes_) {
      if (b->make.id != machine || !b->process)
        continue;
      Observation f;
      f.kind = ObservationKind::kSlowStartExceeded;
      f.at = at;
      f.actor = machine;
      f.value = work;
      f.limit = limit;
      // It binds fronts that were told of the start. One that nobody was told of falls over all the
      // same.
      if (b->notified_of_start)
        See(std::move(f));
      else
        outcome_.happened.push_back("            " + machine +
                                    " fell over before fronts were told of its start");
      scene_.at(scene_.now(), [this, box = b.get()] {
        Fell(*box, false);
        list(*box, "terminated", site_.notice);
      });
      return;
    }
  }

  // ---- troubles

  void Occur(Moment moment) {
    for (std::size_t i = 0; i < script_.troubles.size(); ++i) {
      const Trouble& t = script_.troubles[i];
      if (t.when != moment || i >= armed_.size() || !armed_[i] || scene_.now() < clients_from_)
        continue;
      armed_[i] = false;
      scene_.at(scene_.now() + t.at, [this, &t] { Befall(t); });
    }
  }

  // Those it befalls: the id, or some of a kind in an order of the seed's.
  template <class T, class Name>
  std::vector<T*> Chosen(std::vector<std::unique_ptr<T>>& all, const Trouble& t, Name fits) {
    std::vector<T*> some;
    for (auto& one : all)
      if (fits(*one))
        some.push_back(one.get());
    if (t.whom.find('-') != std::string::npos)
      return some;
    for (std::size_t i = some.size(); i > 1; --i)
      std::swap(some[i - 1], some[static_cast<std::size_t>(world::UniformBetween(
                                 random_engine_, 0, static_cast<double>(i) - 1e-9))]);
    if (t.count > 0 && some.size() > static_cast<std::size_t>(t.count))
      some.resize(static_cast<std::size_t>(t.count));
    return some;
  }
  std::vector<Box*> BoxesFor(const Trouble& t) {
    return Chosen(boxes_, t, [&](const Box& b) {
      if (!b.process)
        return false;
      static const char* const kKinds[] = {"cache", "area", "office"};
      return t.whom == b.make.id || t.whom == kKinds[static_cast<int>(b.make.tier)];
    });
  }
  std::vector<Host*> HostsFor(const Trouble& t) {
    return Chosen(hosts_, t, [&](const Host& h) {
      return h.served && (t.whom == "front" || t.whom == h.front.name);
    });
  }
  std::vector<Clients*> clients() {
    std::vector<Clients*> all;
    for (auto& c : crowds_)
      all.push_back(c.clients.get());
    return all;
  }
  void note(const Trouble& t, const std::string& whom) {
    char at[40];
    std::snprintf(at, sizeof at, "%8.3f s  ", (scene_.now() - clients_from_) / kSecond);
    outcome_.happened.push_back(at + std::string(ToString(t.what)) +
                                (whom.empty() ? "" : " " + whom));
  }
  void Until(Ms lasts, std::function<void()> what) {
    scene_.at(scene_.now() + lasts, std::move(what));
  }

  // Told to go, gone after its time; with a successor there under a new id, or none.
  void Drain(Box& b, Ms lasts, bool back) {
    if (!b.process || b.state != "in_service")
      return;
    list(b, "terminating", 0);
    Until(lasts, [this, &b, back, life = b.process] {
      if (b.process != life)
        return;  // something else came over it
      Fell(b, false);
      list(b, "terminated", site_.notice);
      if (!back)
        return;
      Until(site_.notice + 50, [this, &b] {  // the old one is off the list by then
        if (b.process)
          return;
        std::size_t plus = b.make.id.find('+');
        b.make.id = b.make.id.substr(0, plus) + "+" + std::to_string(++b.successor);
        Rise(b);
      });
    });
  }

  void Befall(const Trouble& t) {
    Ms now = scene_.now();
    auto for_all = [&](auto what) {
      for (Box* b : BoxesFor(t)) {
        note(t, b->make.id);
        what(*b);
      }
    };
    switch (t.what) {
      case What::kStall:
        for_all([&](Box& b) {
          model_.Stall(now, b.make.id, now + t.lasts);
          if (b.make.tier != Tier::kOrigin)
            b.process->StandStill(now + t.lasts);
          See(Unseen(t.lasts + 3000));
          if (b.make.tier == Tier::kOrigin)
            Occur(Moment::kOfficeStopped);
        });
        return;
      case What::kSlow:
        for_all([&](Box& b) {
          model_.SetSlowdown(now, b.make.id, t.factor);
          Until(t.lasts, [this, &b] { model_.SetSlowdown(scene_.now(), b.make.id, 1); });
        });
        return;
      case What::kAgeing:
        for_all([&](Box& b) {
          constexpr int kSteps = 10;
          for (int i = 1; i <= kSteps; ++i)
            Until(t.lasts * i / kSteps,
                  [this, &b, f = 1 + (t.factor - 1) * i / kSteps, life = b.process] {
                    if (b.process == life)
                      model_.SetSlowdown(scene_.now(), b.make.id, f);
                  });
          Until(t.lasts + 1, [this, &b] {
            Fell(b, false);
            list(b, "terminated", site_.notice);
            Until(site_.notice + 500, [this, &b] { Rise(b); });
          });
        });
        return;
      case What::kKill:
        for_all([&](Box& b) {
          Fell(b, false);
          list(b, "terminated", site_.notice);
        });
        return;
      case What::kRestart:
      case What::kVanish:
        for_all([&](Box& b) {
          bool silent = t.what == What::kVanish;
          Fell(b, silent);
          Ms notice = silent ? site_.silent_notice : site_.notice;
          if (notice < t.lasts)
            list(b, "terminated", notice);
          Until(t.lasts, [this, &b] { Rise(b); });
        });
        return;
      case What::kDrain:
        for_all([&](Box& b) { Drain(b, t.lasts, true); });
        return;
      case What::kTake:
        for_all([&](Box& b) { Drain(b, t.lasts, false); });
        return;
      case What::kDeploy: {
        std::vector<Box*> all = BoxesFor(t);
        for (std::size_t i = 0; i < all.size(); ++i)
          Until(t.lasts * static_cast<double>(i) / static_cast<double>(all.size()),
                [this, b = all[i], &t] {
                  note(t, b->make.id);
                  Drain(*b, 1500, true);
                });
        return;
      }
      case What::kPurge:
      case What::kPurgeGroups: {
        note(t, "");
        bool groups = t.what == What::kPurgeGroups;
        int many = groups ? static_cast<int>(std::round(256 * t.share)) : std::max(1, t.count);
        for (int i = 0; i < many; ++i) {
          Event e;
          e.fact.kind = ObservationKind::kPurgeAnnounced;
          e.fact.flag = groups;
          e.fact.value = std::floor(now);
          std::string ms = std::to_string(static_cast<long long>(now));
          if (groups) {
            e.fact.group = (i * 167 + 13) % 256;
            e.json = "{\"flush\":{\"collection\":" + std::to_string(e.fact.group) +
                     ",\"ms\":" + ms + "}}";
          } else {
            e.fact.object = clients()[static_cast<std::size_t>(i) % crowds_.size()]->AnyPopular();
            e.json = "{\"flush\":{\"asset\":\"" + e.fact.object + "\",\"ms\":" + ms + "}}";
          }
          model_.ApplyPurge(std::floor(now), groups, e.fact.object, e.fact.group);
          Until(site_.purge_notice, [this, e]() mutable { Publish(std::move(e)); });
        }
        return;
      }
      case What::kApart:
        return part(t);
      case What::kCut:
      case What::kLag:
      case What::kOneWay:
        return Network(t);
      case What::kLoss:
        note(t, "");
        for (int k = 1; k <= script_.stores; ++k)
          for (int other : {0, k, script_.stores + k})
            for (auto [a, b] : {std::pair{k, other}, std::pair{other, k}}) {
              net_->LinkBetween(a, b).loss_share = t.share;
              Until(t.lasts, [this, a = a, b = b] { net_->LinkBetween(a, b).loss_share = 0; });
            }
        {
          Observation f = Unseen(t.lasts + 3000);
          f.flag = true;  // answers may come late by no fault of the front's
          See(std::move(f));
        }
        return;
      case What::kLateReports:
        note(t, "");
        model_.SetReportDelay(t.late);
        Until(t.lasts, [this] { model_.SetReportDelay(0); });
        return;
      case What::kOddSizes:
        note(t, "");
        for (Clients* c : clients()) {
          c->odd = t.share;
          c->odd_factor = t.factor;
          Until(t.lasts, [c] { c->odd = 0; });
        }
        return;
      case What::kScan:
        note(t, "");
        for (Clients* c : clients()) {
          c->once = t.share;
          Until(t.lasts, [c] { c->once = 0; });
        }
        return;
      case What::kCrowd:
        note(t, "");
        for (Clients* c : clients()) {
          c->crowd = t.factor;
          Until(t.lasts, [c] { c->crowd = 1; });
        }
        return;
      case What::kFrontKill:
        for (Host* h : HostsFor(t)) {
          note(t, h->front.name);
          Kill(*h);
          Until(t.lasts, [this, h] { begin(*h); });
        }
        return;
      case What::kFrontStop:
        for (Host* h : HostsFor(t)) {
          note(t, h->front.name);
          h->stopping = true;
          // The protocol: new connections for 0.2 to 0.4 s more, requests on open ones for 0.2 s
          // more.
          for (Clients* c : clients()) {
            Ms fresh = now + world::UniformBetween(random_engine_, 200, 400);
            c->Stopping(h->front.name, fresh, fresh + 200);
          }
          h->served->Stop();
        }
        return;
      case What::kDiscoveryBreak:
        note(t, "");
        for (auto& h : hosts_)
          h->discovery_process->act([&] { h->discovery->BreakOff(); });
        return;
      case What::kDiscoveryStop:
        note(t, "");
        for (auto& h : hosts_)
          h->discovery_process->act([&] { h->discovery->StopUntil(now + t.lasts); });
        return;
      case What::kSwallowed:
      case What::kBrokenOff:
      case What::kNoise:
        for_all([&](Box& b) {
          Corrupted& s = b.speaker->corrupted;
          (t.what == What::kSwallowed   ? s.swallowed
           : t.what == What::kBrokenOff ? s.broken_off
                                        : s.noise) = t.share;
          Until(t.lasts, [&b] {
            if (b.speaker)
              b.speaker->corrupted = {};
          });
        });
        return;
    }
  }

  // A group of fronts and the others of the fleet don't hear each other. Shorter of a quorum than
  // the fleet, those of the group may send nothing to other zones' caches.
  void part(const Trouble& t) {
    std::vector<Host*> group = HostsFor(t);
    auto inside = [&](const Host* h) {
      return std::count(group.begin(), group.end(), h) > 0;
    };
    std::vector<std::pair<std::uint32_t, std::uint32_t>> pairs;
    for (Host* h : group) {
      note(t, h->front.name);
      for (auto& other : hosts_)
        if (!inside(other.get()))
          for (auto [a, b] : {std::pair{h->host, other->host}, std::pair{other->host, h->host}})
            pairs.emplace_back(Addressed(a), Addressed(b));
    }
    auto apart = [this, pairs](bool on) {
      for (auto [a, b] : pairs)
        net_->SetDatagramsBlocked(a, b, on);
    };
    apart(true);
    Until(t.lasts, [apart] { apart(false); });
    if (2 * group.size() > hosts_.size())
      return;
    for (Host* h : group)
      for (bool on : {true, false})
        Until(on ? 0 : t.lasts, [this, h, on] {
          Observation f;
          f.kind = ObservationKind::kPartitioned;
          f.at = scene_.now();
          f.actor = h->front.name;
          f.group = h->front.store + 1;
          f.flag = on;
          See(std::move(f));
        });
  }

  void Network(const Trouble& t) {
    std::vector<std::uint32_t> hosts;
    bool fronts = false;
    if (t.whom == "board") {
      hosts.push_back(kDiscoveryHost);
      note(t, "board");
    }
    for (Box* b : BoxesFor(t)) {
      hosts.push_back(b->host);
      note(t, b->make.id);
    }
    for (Host* h : HostsFor(t)) {
      hosts.push_back(h->host);
      note(t, h->front.name);
      fronts = true;
    }
    Observation f = Unseen(t.lasts + 12000);
    f.flag = fronts;  // what a front said may be held up
    See(std::move(f));
    for (std::uint32_t host : hosts) {
      if (t.what == What::kLag) {
        net_->SetHostDelay(Addressed(host), t.late);
        Until(t.lasts, [this, host] { net_->SetHostDelay(Addressed(host), 0); });
      } else {
        net_->SetHostBlocked(Addressed(host), t.what == What::kCut, true);
        Until(t.lasts, [this, host] { net_->SetHostBlocked(Addressed(host), false, false); });
      }
    }
  }

  const Script& script_;
  const Options& options_;
  Site site_;
  Scene& scene_;
  stage::Network* net_;  // null on sockets
  Ms start_;
  Ms clients_from_;
  Ms end_;
  world::RandomEngine random_engine_;
  rules::Checker checker_;
  world::Model model_;
  Outcome outcome_;
  std::vector<std::unique_ptr<Box>> boxes_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<Crowd> crowds_;
  std::vector<Event> events_;  // event 2 is the first; by the script's length
  struct State {
    Box* box;
    std::string state;
    std::string json;
  };
  std::map<std::string, State> states_;
  std::vector<bool> armed_;
};

}  // namespace

rules::Limits LimitsFor(const Script& script, std::uint64_t seed) {
  Site site = SiteFor(script, seed);
  rules::Limits l;
  for (const auto& o : site.terms.request_classes) {
    rules::RequestClassPolicy r;
    r.name = o.name;
    r.effect = static_cast<rules::Effect>(o.effect);
    r.deduplication_window = o.deduplication_window;
    r.deduplication_scope = rules::DeduplicationScope::kZone;
    l.request_classes.push_back(r);
  }
  l.purge_done = site.terms.purge_completion_time;
  for (const auto& m : site.makes)
    l.endpoint_locations[m.id] = {m.zone + 1, m.zone + 1};
  return l;
}

Outcome Play(const Script& script, const Options& options) {
  if (options.program.empty()) {
    auto scene = MakeStaged(options.seed, options.logs);
    return Stage(script, options, *scene).Play();
  }
  auto scene = OnSockets(options.program, options.folder);
  return Stage(script, options, *scene).Play();
}

}  // namespace dunlinwick::drill

// The sockets between fronts while their system calls fail: two fronts on the simulated network,
// one on an environment whose calls fail by a plan: each call at every ordinal, then for a while.
// Each message must arrive once; the loop must not spin, and no descriptor may stay open.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "front/fleet.hpp"
#include "front/peers.hpp"
#include "stage/stage.hpp"
#include "support/failing_environment.hpp"

using namespace dunlinwick;
using namespace dunlinwick::testing;
using loop::Ms;

namespace {

constexpr std::uint32_t kHosts[] = {0x0a000001, 0x0a000002};
constexpr std::uint16_t kPort = 7400;
constexpr std::size_t kMaxIdleWaits = 100;
constexpr Call kDatagramCalls[] = {Call::kWait, Call::kSendTo, Call::kReceiveFrom};

struct RecordingComponent final : front::FleetComponent {
  std::vector<std::string> received;
  peers::Channel channel() const override {
    return peers::Channel::kRecord;
  }
  void HandleMessage(peers::Id, std::span<const char> message) override {
    received.emplace_back(message.data(), message.size());
  }
  void HandleTimer() override {}
  Ms NextTimerAt() const override {
    return 1e300;
  }
  std::string StatusJson() const override {
    return "{}";
  }
};

/// The sockets of two fronts, the first on a failing environment. Each sends the other a message
/// that takes many datagrams.
class PeersScenario {
 public:
  explicit PeersScenario(FailingEnvironment::Plan plan = nullptr) {
    environment.plan = std::move(plan);
    processes_[0]->UseEnvironment(environment);
    for (std::size_t i = 0; i < 2; ++i) {
      processes_[i]->Execute([&] {
        sockets_[i] = std::make_unique<front::PeerSocket>(processes_[i]->loop(), Settings(i));
        sockets_[i]->Register(components[i]);
      });
    }
  }
  ~PeersScenario() {
    TakeDown();
  }

  void Exchange() {
    for (std::size_t i = 0; i < 2; ++i)
      processes_[i]->Execute(
          [&] { sockets_[i]->Send(peers::Channel::kRecord, IdOf(1 - i), message); });
    net.RunUntil(net.now() + 5000);
  }
  void CheckInvariants() {
    for (const RecordingComponent& component : components) {
      CHECK(component.received.size() == 1);
      if (!component.received.empty())
        CHECK(component.received.front() == message);
    }
    CHECK(environment.MostIdleWaits() < kMaxIdleWaits);
    TakeDown();
    CHECK(environment.OpenDescriptors() == 0);
    CHECK(environment.InvalidCloses() == 0);
  }

  stage::Network net{1};
  const std::string message = std::string(20000, 'm');

 private:
  stage::Process* processes_[2] = {&net.Start(kHosts[0], "first"), &net.Start(kHosts[1], "second")};

 public:
  FailingEnvironment environment{*processes_[0]};
  RecordingComponent components[2];

 private:
  static peers::Id IdOf(std::size_t index) {
    return static_cast<peers::Id>(index + 1);
  }
  static front::PeersSettings Settings(std::size_t index) {
    front::PeersSettings settings;
    settings.enabled = true;
    settings.self = IdOf(index);
    settings.listen = stage::MakeAddress(kHosts[index], kPort);
    for (std::size_t i = 0; i < 2; ++i)
      settings.addresses[IdOf(i)] = stage::MakeAddress(kHosts[i], kPort);
    return settings;
  }
  void TakeDown() {
    for (std::size_t i = 0; i < 2; ++i)
      processes_[i]->Execute([&] { sockets_[i].reset(); });
  }

  std::unique_ptr<front::PeerSocket> sockets_[2];
};

/// Two membership components on their own sockets, the first on a failing environment.
class FleetScenario {
 public:
  explicit FleetScenario(FailingEnvironment::Plan plan = nullptr) {
    environment.plan = std::move(plan);
    processes_[0]->UseEnvironment(environment);
    for (std::size_t i = 0; i < 2; ++i) {
      processes_[i]->Execute([&] {
        fleets_[i] = std::make_unique<front::MembershipComponent>(
            processes_[i]->loop(), Settings(i), i, health_, [](std::vector<double>) {});
      });
    }
  }
  ~FleetScenario() {
    for (std::size_t i = 0; i < 2; ++i)
      processes_[i]->Execute([&] { fleets_[i].reset(); });
  }

  stage::Network net{1};

 private:
  stage::Process* processes_[2] = {&net.Start(kHosts[0], "first"), &net.Start(kHosts[1], "second")};

 public:
  FailingEnvironment environment{*processes_[0]};

 private:
  static front::FleetSettings Settings(std::size_t index) {
    front::FleetSettings settings;
    settings.enabled = true;
    settings.self = static_cast<std::uint32_t>(index);
    settings.listen = stage::MakeAddress(kHosts[index], kPort);
    for (std::uint32_t i = 0; i < 2; ++i) {
      front::FleetMember member;
      member.id = i;
      member.address = stage::MakeAddress(kHosts[i], kPort);
      settings.members.push_back(member);
    }
    settings.zones = {"a"};
    settings.zone_region = {0};
    return settings;
  }

  failover::ZoneCacheHealth health_{0, 1, 2};
  std::unique_ptr<front::MembershipComponent> fleets_[2];
};

/// Calls of one kind fail with one error for `lasting` ms from the start.
FailingEnvironment::Plan FailFor(const stage::Network& net, Call failing, int error, Ms lasting) {
  return [&net, failing, error, ends = net.now() + lasting](Call call,
                                                            std::size_t) -> std::optional<Failure> {
    if (call == failing && net.now() < ends)
      return Failure{error};
    return std::nullopt;
  };
}

TEST_CASE("every call on the peers' socket fails once at every ordinal") {
  PeersScenario without_failures;
  without_failures.Exchange();
  std::size_t plans = 0;
  for (Call call : kDatagramCalls) {
    REQUIRE(without_failures.environment.Calls(call) > 0);
    for (std::size_t ordinal = 0; ordinal < without_failures.environment.Calls(call); ++ordinal) {
      for (Failure failure : FailuresOf(call)) {
        CAPTURE(Name(call));
        CAPTURE(ordinal);
        CAPTURE(failure.error);
        PeersScenario scenario(FailOnce(call, ordinal, failure));
        REQUIRE_NOTHROW(scenario.Exchange());
        scenario.CheckInvariants();
        ++plans;
      }
    }
  }
  without_failures.CheckInvariants();
  MESSAGE(plans << " plans");
}

TEST_CASE("a lasting shortage of buffers makes no socket between fronts spin") {
  constexpr Ms kLasting = 200;
  for (Call call : {Call::kSendTo, Call::kReceiveFrom}) {
    for (int error : {ENOBUFS, ENOMEM}) {
      CAPTURE(Name(call));
      CAPTURE(error);
      PeersScenario peers;
      peers.environment.plan = FailFor(peers.net, call, error, kLasting);
      CHECK_NOTHROW(peers.Exchange());
      CHECK(peers.environment.Failures() > 0);
      peers.CheckInvariants();
      FleetScenario fleet;
      fleet.environment.plan = FailFor(fleet.net, call, error, 3000);
      CHECK_NOTHROW(fleet.net.RunUntil(fleet.net.now() + 6000));
      CHECK(fleet.environment.Failures() > 0);
      CHECK(fleet.environment.MostIdleWaits() < kMaxIdleWaits);
    }
  }
}

TEST_CASE("a socket between fronts that cannot be opened is reported at the start") {
  for (Failure failure : FailuresOf(Call::kOpenDatagrams)) {
    CAPTURE(failure.error);
    CHECK_THROWS_AS(PeersScenario(FailOnce(Call::kOpenDatagrams, 0, failure)), std::runtime_error);
    CHECK_THROWS_AS(FleetScenario(FailOnce(Call::kOpenDatagrams, 0, failure)), std::runtime_error);
  }
}

}  // namespace

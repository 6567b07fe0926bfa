// The peers' socket of a front on loopback, and what of its block is refused: two sockets in one
// process with parts that note what they hear; a 300 KB message, view requests, strangers, junk, a
// place's word; and each fault of a configuration by field and reason.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

#include "front/charter.hpp"
#include "front/peers.hpp"
#include "json/json.hpp"
#include "peers/wire.hpp"

using namespace dunlinwick;

namespace {

struct Notes final : front::Part {
  peers::Channel on;
  std::vector<std::pair<peers::Id, std::string>> came;
  std::vector<std::string> raws;
  int woken = 0;
  explicit Notes(peers::Channel c) : on(c) {}
  peers::Channel channel() const override {
    return on;
  }
  void Heard(peers::Id from, std::span<const char> m) override {
    came.emplace_back(from, std::string(m.data(), m.size()));
  }
  void Raw(std::span<const char> d) override {
    raws.emplace_back(d.data(), d.size());
  }
  void Wake() override {
    ++woken;
  }
  front::Ms WakeAt() const override {
    return 1e300;
  }
  std::string view() const override {
    return std::string("{\"part\":\"") + peers::ToString(on) + "\"}";
  }
};

loop::Address At(int last, int port) {
  return *loop::ReadAddress("127.0.0." + std::to_string(last) + ":" + std::to_string(port));
}

std::string Refusal(const std::string& blocks) {
  std::ifstream file(EXAMPLE);
  std::stringstream text;
  text << file.rdbuf();
  std::string all = text.str();
  all.insert(all.find('{') + 1, blocks + ",");
  try {
    front::ReadConfigurationText(all, "test", "");
  } catch (const std::exception& fault) {
    return fault.what();
  }
  return "";
}

const std::string kGood =
    R"("peers": {"self": 2, "listen": "127.0.0.10:7400", "members": [{"id": 1, "at": "127.0.0.100:7401"}, {"id": 2, "at": "127.0.0.10:7400"}]})";
std::string FleetOf(const std::string& self, const std::string& listen,
                    const std::string& members) {
  return kGood + R"(, "fleet": {"self": )" + self + listen +
         R"(, "zones": [{"name": "a", "region": "n"}], "members": [)" + members + "]}";
}
std::string OwnerOf(const std::string& members, const std::string& places) {
  return kGood + R"(, "owner": {"self": 2, "members": [)" + members + R"(], "places": [)" + places +
         R"(], "group": [1, 2, 3], "works": []})";
}

}  // namespace

TEST_CASE("a large message, views, strangers and junk on loopback") {
  loop::Loop loop;
  int port = 20000 + ::getpid() % 20000;
  front::PeersTerms one, two;
  one.on = two.on = true;
  one.self = 1;
  two.self = 2;
  one.listen = At(31, port);
  two.listen = At(32, port);
  one.at = two.at = {{1, one.listen}, {2, two.listen}};
  front::Peers a(loop, one), b(loop, two);
  Notes record(peers::Channel::kRecord), owner(peers::Channel::kOwner),
      members(peers::Channel::kMembers);
  b.Carry(record);
  b.Carry(owner);
  b.Carry(members);
  std::string bulk;
  for (std::uint32_t i = 0; i < 300000; ++i)
    bulk += static_cast<char>(i * i >> 7);
  a.Send(peers::Channel::kRecord, 2, bulk);
  a.Send(peers::Channel::kMembers, 2, "probe");
  a.Send(peers::Channel::kMembers, 9, "to nobody");
  loop::Descriptor other(loop.environment(), loop.environment().OpenDatagrams(At(33, port)));
  auto say = [&](const std::string& d) {
    loop.environment().SendTo(other.Get(), d, two.listen);
  };
  say(peers::Encode(peers::Channel::kMembers, 7, peers::Kind::kWhole, std::string("a stranger")));
  say(peers::Encode(peers::Channel::kMembers, 2, peers::Kind::kWhole, std::string("oneself")));
  say("DO\x01 what a place did");
  say("junk");
  say("");
  say("DP");
  say(std::string(3000, 'D'));
  for (const char* q : {"DW?", "DO?", "DP?"})
    say(q);
  for (double end = loop.now() + 20000; loop.now() < end && record.came.empty();)
    loop.RunOnce(20);
  REQUIRE(record.came.size() == 1);
  CHECK(record.came[0].first == 1);
  CHECK(record.came[0].second == bulk);
  REQUIRE(members.came.size() == 1);
  CHECK(members.came[0] == std::pair<peers::Id, std::string>(1, "probe"));
  CHECK(owner.raws.size() == 1);
  CHECK(owner.came.empty());
  std::vector<std::string> answers;
  char buffer[4096];
  loop::Address from{};
  for (ssize_t got = 0; (got = loop.environment().ReceiveFrom(other.Get(), buffer, from)) >= 0;)
    answers.emplace_back(buffer, static_cast<std::size_t>(got));
  REQUIRE(answers.size() == 3);
  CHECK(answers[0] == "{\"part\":\"members\"}");
  CHECK(answers[1] == "{\"part\":\"owner\"}");
  auto v = json::Parse(answers[2]);
  REQUIRE(v);
  auto now = json::Parse(b.view());
  REQUIRE(now);
  CHECK(now->GetNumber("strangers") == 2.0);
  CHECK(now->GetNumber("junk") == 4.0);
  CHECK(json::Parse(a.view())->GetNumber("unsent") == 1.0);
}

TEST_CASE("a peers block is refused whole, with field and reason") {
  CHECK(Refusal(kGood) == "");
  CHECK(Refusal(R"("peers": 7)") == "peers: an object wanted");
  CHECK(Refusal(R"("peers": ["10.3.0.1:7946"])") ==
        "");  // the platform's own word for the addresses, no block of ours
  CHECK(Refusal(R"("peers": {})") == "peers.self: a whole number from 1 to 1000000000 wanted");
  CHECK(Refusal(R"("peers": {"self": 0})") ==
        "peers.self: a whole number from 1 to 1000000000 wanted");
  CHECK(Refusal(R"("peers": {"self": 1})") ==
        "peers.listen: an address such as 127.0.0.10:7400 wanted");
  CHECK(Refusal(R"("peers": {"self": 1, "listen": "127.0.0.10:7400", "members": []})") ==
        "peers.members: 1 to 128 wanted, each with id and at");
  CHECK(
      Refusal(
          R"("peers": {"self": 1, "listen": "127.0.0.10:7400", "members": [{"id": 2, "at": "127.0.0.1:1"}]})") ==
      "peers.self: not among members");
  CHECK(
      Refusal(
          R"("peers": {"self": 1, "listen": "127.0.0.10:7400", "members": [{"id": 1, "at": "x"}]})") ==
      "peers.members[0].at: an address such as 127.0.0.10:7400 wanted");
  CHECK(
      Refusal(
          R"("peers": {"self": 1, "listen": "127.0.0.10:7400", "members": [{"id": 1, "at": "127.0.0.1:1"}, {"id": 1, "at": "127.0.0.1:2"}]})") ==
      "peers.members[1].id: given twice");
  CHECK(Refusal(R"("peers": {"self": 1, "listen": "127.0.0.10:7400", "members": [3]})") ==
        "peers.members[0]: an object with id and at wanted");
}

TEST_CASE(
    "the fleet and the owner over peers go by its ids; with a listen of their own they go as "
    "before") {
  CHECK(Refusal(FleetOf("2", "", R"({"id": 1, "zone": "a"}, {"id": 2, "zone": "a"})")) == "");
  CHECK(Refusal(FleetOf("1", "", R"({"id": 1, "zone": "a"})")) ==
        "fleet.self: another than peers.self, over whose socket the fleet runs");
  CHECK(Refusal(FleetOf("2", "", R"({"id": 3, "zone": "a"}, {"id": 2, "zone": "a"})")) ==
        "fleet.members[0].id: not among peers.members, over whose socket the fleet runs");
  CHECK(Refusal(FleetOf("2", "", R"({"id": 2, "at": "127.0.0.1:1", "zone": "a"})")) ==
        "fleet.members[0].at: goes with a listen of the fleet's own; peers.members says where each "
        "is");
  CHECK(Refusal(FleetOf("0", R"(, "listen": "127.0.0.10:7500")",
                        R"({"id": 0, "at": "127.0.0.1:1", "zone": "a"})")) == "");
  CHECK(
      Refusal(
          R"("fleet": {"self": 0, "zones": [{"name": "a", "region": "n"}], "members": [{"id": 0, "at": "127.0.0.1:1", "zone": "a"}]})") ==
      "fleet.listen: an address such as 127.0.0.10:7400 wanted");
  CHECK(Refusal(OwnerOf(R"({"id": 1}, {"id": 2}, {"id": 3})",
                        R"({"id": 1000, "at": "127.0.0.1:1"})")) ==
        "owner.members[2].id: not among peers.members, over whose socket the owner runs");
  CHECK(Refusal(OwnerOf(R"({"id": 1, "at": "127.0.0.1:1"}, {"id": 2})",
                        R"({"id": 1000, "at": "127.0.0.1:1"})")) ==
        "owner.members[0].at: goes with a listen of the owner's own; peers.members says where each "
        "is");
  CHECK(Refusal(OwnerOf(R"({"id": 1}, {"id": 2})", R"({"id": 2, "at": "127.0.0.1:1"})")) ==
        "owner.places[0].id: given twice");
  CHECK(Refusal(OwnerOf(R"({"id": 2})", R"({"id": 1, "at": "127.0.0.1:1"})")) ==
        "owner.places[0].id: is a peer's");
}

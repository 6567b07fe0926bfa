// The parsers of bytes from clients, caches and the discovery service, with valid and invalid
// input.
#include <random>

#include "board/watch_events.hpp"
#include "caches/lines.hpp"
#include "clients/http.hpp"
#include "kit.hpp"

using namespace kit;

static void JsonIsParsedStrictly() {
  std::string deep(40, '['), shallow = std::string(20, '[') + std::string(20, ']');
  struct Case {
    std::string text;
    bool good;
  };
  for (const Case& c : {Case{"{}", true},      {" {\"a\":[1,-2.5e3,true,null,\"x\"]} ", true},
                        {shallow, true},       {"\"\\u00e9\\ud83d\\ude00\\n\"", true},
                        {"", false},           {"{", false},
                        {"{\"a\":1,}", false}, {"{\"a\":1,\"a\":2}", false},
                        {"[1,]", false},       {"01", false},
                        {"1.", false},         {"1e999", false},
                        {"+1", false},         {"nul", false},
                        {"1 2", false},        {"\"\\ud83d\"", false},
                        {"\"\\x\"", false},    {"\"a\nb\"", false},
                        {"\"open", false},     {deep + std::string(40, ']'), false}})
    assert(json::Parse(c.text).has_value() == c.good);
  auto v = json::Parse("{\"s\":\"\\u00e9\\ud83d\\ude00\\/\",\"n\":-2.5e3,\"t\":true}");
  assert(v->GetString("s") == "\xc3\xa9\xf0\x9f\x98\x80/" && v->GetNumber("n") == -2500.0 &&
         !v->GetNumber("t"));
}

static void SettingsAreFlattenedAsOnTheWire() {
  auto v = json::Parse(
      "{\"zone\":1,\"azs\":[\"hub "
      "one\",\"e,1\"],\"tenants\":[],\"limits\":{\"connIdle\":30000.0,\"cancel\":true},"
      "\"classes\":[{\"aim\":200.0,\"name\":\"a\"},{\"aim\":100.0,\"name\":\"b\"}]}");
  assert(settings::FlattenToLines(*v) ==
         "zone=1\nazs=hub_one,e_1\ntenants=\nlimits.connIdle=30000.0\nlimits.cancel=true\nclasses."
         "count=2\n"
         "classes.0.aim=200.0\nclasses.0.name=a\nclasses.1.aim=100.0\nclasses.1.name=b\n");
}

static const std::string kPut =
    "PUT /ops/handover/7f3a?part=3 HTTP/1.1\r\nHost: s\r\nX-Request-Id: 9b1f03aa5c7e2d41\r\n"
    "content-length: 5\r\n\r\nab\r\n\x01";

static void RequestsAreParsedAtAnySplit() {
  for (std::size_t cut = 0; cut < kPut.size(); ++cut) {
    auto prefix = clients::ParseRequest(std::string_view(kPut).substr(0, cut), 100);
    assert(prefix.error_status == 0 && !prefix.is_complete);
  }
  std::string bytes = "\r\n" + kPut + "GET";
  auto all = clients::ParseRequest(bytes, 100);
  assert(all.is_complete && all.request.size == kPut.size() + 2 &&
         all.request.body == "ab\r\n\x01");
  assert(all.request.path == "/ops/handover/7f3a" && all.request.query == "part=3" &&
         all.request.keep_alive);
  assert(all.request.header("x-REQUEST-id") == "9b1f03aa5c7e2d41");
}

static void InvalidRequestsGetTheirStatus() {
  struct Case {
    std::string bytes;
    int fault;
  };
  const std::string get = "GET / HTTP/1.1\r\n";
  for (const Case& c : {Case{"GET / HTTP/1.1\r\n\r\n", 0},
                        {"\x16\x03\x01", 400},
                        {"GET /\r\n\r\n", 400},
                        {"GET / HTTP/2.0\r\n\r\n", 400},
                        {"GET x HTTP/1.1\r\n\r\n", 400},
                        {"GET /a b HTTP/1.1\r\n\r\n", 400},
                        {"G{T / HTTP/1.1\r\n\r\n", 400},
                        {get + "no colon\r\n\r\n", 400},
                        {get + " folded: x\r\n\r\n", 400},
                        {get + "A : x\r\n\r\n", 400},
                        {get + "A: x\x01\r\n\r\n", 400},
                        {get + "Content-Length: 5x\r\n\r\n", 400},
                        {get + "Content-Length: -5\r\n\r\n", 400},
                        {get + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n", 400},
                        {get + "Content-Length: 99999999999999999999\r\n\r\n", 413},
                        {get + "Content-Length: 101\r\n\r\n", 413},
                        {get + "Transfer-Encoding: chunked\r\n\r\n", 411},
                        {get + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", 400},
                        {get + "Expect: magic\r\n\r\n", 417},
                        {"PUT / HTTP/1.1\r\n\r\n", 411},
                        {get + "A: " + std::string(9000, 'x'), 431}})
    assert(clients::ParseRequest(c.bytes, 100).error_status == c.fault);
  assert(!clients::ParseRequest("GET / HTTP/1.0\r\n\r\n", 100).request.keep_alive);
  assert(!clients::ParseRequest(get + "Connection: x, Close\r\n\r\n", 100).request.keep_alive);
}

static void RequestLinesCarryAllFieldsOfAnAttempt() {
  exchange::RequestMetadata ask;
  ask.id = "9b1f03aa5c7e2d41";
  ask.request_class = "video";
  ask.object = "7f3a";
  ask.part = "3";
  SendAttempt attempt;
  assert(caches::UpstreamRequest(ask, attempt, "").WithTimeLeft(1500.2) ==
         "want 9b1f03aa5c7e2d41 profile=video,thing=7f3a,nth=3,max=1501 0\r\n\r\n");
  ask.entity_tag = "4be0";
  ask.body = "a\r\nb";
  attempt.coalesce = attempt.only_if_cached = attempt.revalidate = true;
  attempt.retention_rank = 2;
  attempt.max_age = 0.001;
  // An age below a millisecond must not become 0, which would remove the age limit after a purge.
  assert(caches::UpstreamRequest(ask, attempt, "s-2").WithTimeLeft(1500.2) ==
         "want 9b1f03aa5c7e2d41 profile=video,thing=7f3a,nth=3,max=1501,miss=s-2,prio=2,within=1,"
         "f=coalesce+shallow+freshen,mine=4be0 4\r\na\r\nb\r\n");
  ask.idempotency_key = "k-17";  // as the client named it: repeated requests are recognised by it
  assert(caches::UpstreamRequest(ask, attempt, "s-2")
             .WithTimeLeft(1500.2)
             .find(",mine=4be0,replay=k-17 4\r\n") != std::string::npos);
}

static void ResponsesAreParsed() {
  struct Case {
    const char* line;
    AttemptResult ending;
    CacheStatus remark;
    std::size_t length;
  };
  for (Case c :
       {Case{"a HIT entity=x1,issued=17645,remark=local,delay=0.5 240000", AttemptResult::kFinished,
             CacheStatus::kHit, 240000},
        {"a VALID entity=x1,issued=1,remark=pulled_far 0", AttemptResult::kFinished,
         CacheStatus::kFilledByOrigin, 0},
        {"a NONE remark=not_there 0", AttemptResult::kMiss, CacheStatus::kSourceMiss, 0},
        {"a SHED remark=no_place 0", AttemptResult::kOverloaded, CacheStatus::kNoFillSlot, 0},
        {"a FAULT remark=far_fault 0", AttemptResult::kError, CacheStatus::kOriginFailed, 0},
        {"a FAULT later=field,remark=cut_off 0", AttemptResult::kError, CacheStatus::kSourceFailed,
         0},
        {"a LATE - 0", AttemptResult::kStartDeadlinePassed, CacheStatus::kNone, 0}}) {
    auto answer = caches::ParseResponseLine(c.line, {});
    assert(answer && answer->id == "a" && !answer->is_probe && answer->body_length == c.length);
    assert(answer->head.result == c.ending && answer->head.cache_status == c.remark);
  }
  auto valid = caches::ParseResponseLine("a VALID entity=x1,delay=2.5 0", {});
  assert(valid->head.not_modified && valid->head.entity_tag == "x1" &&
         valid->head.queue_delay == 2.5);
  auto pong =
      caches::ParseResponseLine("p PONG report=util:0.61;inflight:7;odd:1 0", {"inflight", "util"});
  assert(pong->is_probe && pong->is_healthy && pong->head.report[0] == 7 &&
         pong->head.report[1] == 0.61f);
  assert(!caches::ParseResponseLine("p SICK - 0", {})->is_healthy);
  for (const char* bad :
       {"", "a", "a HIT", "a HIT -", "a HIT - x", "a HIT - -1", "a HIT - 240001", "a HUT - 0",
        " HIT - 0", "a HIT  0", "a HIT remark=magic 0", "a HIT delay=x 0", "a HIT delay=-1 0",
        "a HIT =x 0", "a HIT entity=a\"b 0", "a HIT entity=a\tb 0", "a HIT report=x 0",
        "a HIT - 0 0", "a HIT - 99999999999999999999"})
    assert(!caches::ParseResponseLine(bad, {}));
}

static const settings::ConnectionSettings kConnectionSettings{
    {"video"}, {"hub", "e-1"}, {"box", "parent"}, {}, 400, 30000, 100};

static void UpdatesAreParsed() {
  auto read = [](const char* text) {
    auto v = json::Parse(text);
    return v ? discovery::ReadWatchEvent(*v, kConnectionSettings) : std::nullopt;
  };
  auto list = read(
      "{\"rev\":41,\"pool\":{\"version\":7,\"full\":false,\"servers\":[{\"id\":\"s-1\",\"addr\":"
      "\"127.0.0.9:"
      "5050\","
      "\"zone\":\"e-1\",\"kind\":\"parent\",\"cell\":2,\"state\":\"terminating\",\"weight\":4,"
      "\"started_ms\":"
      "17}]}}");
  assert(list && list->revision == 41 && list->has_list && !list->is_full_list &&
         !list->has_purge && list->entries.size() == 1);
  const exchange::ListedEndpoint& listed = list->entries[0];
  assert(listed.id == "s-1" && ntohs(listed.address.sin_port) == 5050 && listed.entry.zone == 1 &&
         listed.entry.kind == 1);
  assert(listed.entry.state == EndpointState::kDraining && listed.entry.weight == 4 &&
         listed.entry.started_at == 17);
  auto object = read("{\"rev\":42,\"flush\":{\"asset\":\"7f3a\",\"ms\":123}}");
  assert(object && object->has_purge && !object->whole_group && object->object == "7f3a" &&
         object->purged_at == 123);
  auto group = read("{\"rev\":43,\"flush\":{\"collection\":17,\"ms\":480}}");
  assert(group && group->whole_group && group->group == 17);
  assert(read("{\"rev\":44,\"news\":1}"));  // of a kind that later versions may add
  for (const char* bad :
       {"{}", "{\"rev\":0}", "{\"rev\":1.5}", "{\"rev\":\"1\"}", "{\"rev\":1,\"pool\":{}}", "[1]",
        "{\"rev\":1,\"pool\":{\"servers\":[{\"id\":\"s\",\"addr\":\"x\",\"state\":\"in_service\"}]}"
        "}",
        "{\"rev\":1,\"pool\":{\"servers\":[{\"id\":\"s "
        "1\",\"addr\":\"127.0.0.1:1\",\"state\":\"in_service\"}]}}",
        "{\"rev\":1,\"pool\":{\"servers\":[{\"id\":\"s\",\"addr\":\"127.0.0.1:1\",\"state\":"
        "\"odd\"}]}}",
        "{\"rev\":1,\"flush\":{\"asset\":\"a\"}}", "{\"rev\":1,\"flush\":{\"ms\":1}}",
        "{\"rev\":1,\"flush\":{\"asset\":\"a\",\"ms\":1e300}}",
        "{\"rev\":1,\"flush\":{\"asset\":\"a\",\"ms\":-1e16}}",
        "{\"rev\":1,\"flush\":{\"asset\":\"a\",\"collection\":1e300,\"ms\":1}}",
        "{\"rev\":1,\"flush\":{\"collection\":-1,\"ms\":1}}",
        "{\"rev\":1,\"flush\":{\"collection\":65536,\"ms\":1}}"})
    assert(!read(bad));
  auto entry = [&](const std::string& id, const std::string& more) {
    return read(("{\"rev\":1,\"pool\":{\"servers\":[{\"id\":\"" + id +
                 "\",\"addr\":\"127.0.0.1:1\",\"state\":\"in_service\"" + more + "}]}}")
                    .c_str());
  };
  assert(entry("s-1", "") &&
         entry("s-1", ",\"weight\":-1,\"started_ms\":-1,\"cell\":1e300,\"zone\":7"));
  for (const char* bad : {",\"weight\":1e300", ",\"weight\":-1e300", ",\"started_ms\":1e300",
                          ",\"started_ms\":-1e300"})
    assert(!entry("s-1", bad));
  for (const char* bad : {"", "s,1", "s\\r1", "s\\n1", "s\\t1", "s\\u00001", "s\\u007f1"})
    assert(!entry(bad, ""));
}

static void DisconnectReasonsMapToAttemptResults() {
  using loop::DisconnectReason;
  struct Case {
    DisconnectReason reason;
    AttemptResult whole_request_written;
    AttemptResult part_of_request_written;
  };
  for (Case c :
       {Case{DisconnectReason::kRefused, AttemptResult::kNotSent, AttemptResult::kNotSent},
        {DisconnectReason::kConnectFailed, AttemptResult::kNotSent, AttemptResult::kNotSent},
        {DisconnectReason::kLocalShortage, AttemptResult::kNotSent, AttemptResult::kNotSent},
        {DisconnectReason::kClosed, AttemptResult::kDisconnected, AttemptResult::kNotSent},
        {DisconnectReason::kReset, AttemptResult::kDisconnected, AttemptResult::kNotSent},
        {DisconnectReason::kMalformed, AttemptResult::kDisconnected, AttemptResult::kNotSent},
        {DisconnectReason::kReplaced, AttemptResult::kDisconnected, AttemptResult::kNotSent}}) {
    assert(exchange::ToAttemptResult(c.reason, true) == c.whole_request_written);
    assert(exchange::ToAttemptResult(c.reason, false) == c.part_of_request_written);
  }
}

// Bytes changed at random: the parsers may return any result, but must stay within their bounds
// (checked by sanitizers).
static void MalformedBytesAreHandled() {
  std::knuth_b random_engine(7);
  const std::string samples[] = {kPut,
                                 "a HIT entity=x1,issued=17645,remark=local,report=a:1;b:2 24",
                                 "{\"rev\":42,\"flush\":{\"asset\":\"7f\\u00e9\",\"ms\":1.5e2}}"};
  std::size_t parsed = 0;
  for (int i = 0; i < 30000; ++i) {
    std::string bytes = samples[i % 3];
    for (int changes = 1 + i % 4; changes > 0; --changes)
      bytes[random_engine() % bytes.size()] = static_cast<char>(random_engine());
    bytes.resize(random_engine() % (bytes.size() + 1));
    auto request = clients::ParseRequest(bytes, 100);
    assert(!request.is_complete || request.request.size <= bytes.size());
    parsed += request.is_complete + caches::ParseResponseLine(bytes, {"a"}).has_value();
    if (auto v = json::Parse(bytes))
      parsed += discovery::ReadWatchEvent(*v, kConnectionSettings).has_value();
  }
  assert(parsed > 0);
}

int main() {
  JsonIsParsedStrictly();
  SettingsAreFlattenedAsOnTheWire();
  RequestsAreParsedAtAnySplit();
  InvalidRequestsGetTheirStatus();
  RequestLinesCarryAllFieldsOfAnAttempt();
  ResponsesAreParsed();
  UpdatesAreParsed();
  DisconnectReasonsMapToAttemptResults();
  MalformedBytesAreHandled();
}

// The adapter to the simulator: a batch is answered, malformed frames are rejected, and an error in
// the settings names the setting.
#include "benchlink/host.hpp"
#include "kit.hpp"
#include "sheet/sheet.hpp"

using namespace kit;
using namespace dunlinwick::benchlink;

static const std::string kSettings =
    "zone=1\nbalancers=2\nclasses.count=1\nclasses.0.aim=500.0\nclasses.0.giveUp=5000.0\nclasses.0."
    "idempotency=repeatable\n"
    "familyInfo.parentKind=1\nfamilyInfo.sourceKind=2\nfamilyInfo.streamKbPerS=8800.0\nlimits."
    "maxAttempts=8\n"
    "limits.retryAfter=true\nlimits.maxRetryAfter=500.0\nnot.known=x,y\n";

static std::string Attach() {
  Writer w;
  w.U16(12);
  w.U16(3);
  w.U16(2);
  w.U64(42);
  w.U32(static_cast<std::uint32_t>(kSettings.size()));
  return w.bytes + kSettings;
}

static std::string EndpointList() {
  Writer w;
  w.U16(9);
  w.U8(2);
  w.U32(1);
  w.U32(2);
  for (unsigned kind : {0u, 2u}) {
    w.U32(10 + kind);
    w.U16(1);
    w.U8(kind);
    w.U16(0);
    w.U8(2);
    w.U32(std::bit_cast<std::uint32_t>(1.0f));
    w.F64(0);
  }
  return w.bytes;
}

static std::string RequestArrivedRecord(std::uint32_t id) {
  Writer w;
  w.U16(7);
  w.U32(id);
  w.U8(0);
  w.U32(0);
  w.U64(77);
  w.F64(2000);
  for (float v : {640.0f, 11.0f, 3.0f})
    w.U32(std::bit_cast<std::uint32_t>(v));
  w.U16(0);
  return w.bytes;
}

static bool IsRejected(std::string_view body, std::uint32_t records) {
  try {
    Host().HandleBatch({1000, static_cast<std::uint32_t>(body.size()), records, 1}, body);
  } catch (const FrameError&) {
    return true;
  }
  return false;
}

static void ABatchIsAnswered() {
  Host host;
  std::string body = Attach() + EndpointList() + RequestArrivedRecord(5),
              reply = host.HandleBatch({1000, 0, 4, 9}, body);
  Reader in(reply);
  assert(in.U32() == reply.size() - 8 && in.U32() == 9);
  assert(in.U16() == 74 && in.U16() == 3);  // Source
  assert(in.U16() == 70);                   // Arm, then FetchThrough
  in.ReadBytes(16);
  assert(in.U16() == 67 && in.U32() == 5);
  in.ReadBytes(10);
  assert(in.U32() == 12 && in.U32() == 10);  // source: the origin; cache: the only one
  Writer kill;
  kill.U16(12);
  kill.U16(3);
  kill.U16(1);
  assert(host.HandleBatch({1001, 0, 2, 10}, kill.bytes).size() == 8);
  assert(host.HandleBatch({1002, 0, 4, 11}, body).size() == reply.size());  // attached again
}

static void MalformedFramesAreRejected() {
  std::string body = Attach() + EndpointList() + RequestArrivedRecord(5);
  for (std::size_t cut = 1; cut < body.size(); ++cut)
    assert(IsRejected(std::string_view(body).substr(0, cut), 4));
  assert(IsRejected(body + "x", 4));
  Writer unknown, before_on, count, result;
  unknown.U16(12);
  unknown.U16(3);
  unknown.U16(99);
  before_on.U16(3);
  before_on.U64(1);
  count.U16(12);
  count.U16(3);
  count.U16(9);
  count.U8(1);
  count.U32(1);
  count.U32(0xffffffff);
  result.U16(12);
  result.U16(3);
  result.U16(4);
  result.U32(1);
  result.F64(1);
  result.U16(42);
  result.U8(0);
  assert(IsRejected(unknown.bytes, 2) && IsRejected(before_on.bytes, 1) &&
         IsRejected(count.bytes, 2) && IsRejected(result.bytes, 2));
  Writer header;
  header.F64(1);
  header.U32(4);
  header.U32(3);
  header.U32(1);
  bool rejected = false;
  try {
    ReadHeader(header.bytes);
  } catch (const FrameError&) {
    rejected = true;
  }
  assert(rejected);
}

static void AnErrorNamesTheSetting() {
  struct Case {
    const char *from, *to, *named;
  };
  for (Case c : {Case{"zone=1\n", "", "zone"},
                 {"aim=500.0", "aim=soon", "classes.0.aim"},
                 {"limits.maxAttempts=8", "limits.maxAttempts=0", "limits.maxAttempts"},
                 {"idempotency=repeatable", "idempotency=often", "classes.0.idempotency"}}) {
    std::string text = kSettings;
    text.replace(text.find(c.from), std::string(c.from).size(), c.to);
    std::string message;
    try {
      settings::ReadDeploymentSettings(text);
    } catch (const settings::SettingsError& error) {
      message = error.what();
    }
    assert(message.find(c.named) != message.npos);
  }
  DeploymentSettings s = settings::ReadDeploymentSettings(kSettings);
  assert(s.zone == 1 && s.max_retry_after == 500 &&
         s.request_classes[0].effect == Effect::kIdempotent);
}

int main() {
  ABatchIsAnswered();
  MalformedFramesAreRejected();
  AnErrorNamesTheSetting();
}

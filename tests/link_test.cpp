#include "benchlink/host.hpp"
#include "kit.hpp"
#include "sheet/sheet.hpp"

using namespace kit;
using namespace dunlinwick::benchlink;

static const std::string kFacts =
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
  w.U32(static_cast<std::uint32_t>(kFacts.size()));
  return w.bytes + kFacts;
}

static std::string Registry() {
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

static std::string Inbound(std::uint32_t id) {
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

static bool Refused(std::string_view body, std::uint32_t records) {
  try {
    Host().answer({1000, static_cast<std::uint32_t>(body.size()), records, 1}, body);
  } catch (const WireFault&) {
    return true;
  }
  return false;
}

static void AnswersABatch() {
  Host host;
  std::string body = Attach() + Registry() + Inbound(5), reply = host.answer({1000, 0, 4, 9}, body);
  Reader in(reply);
  assert(in.U32() == reply.size() - 8 && in.U32() == 9);
  assert(in.U16() == 74 && in.U16() == 3);  // Source
  assert(in.U16() == 70);                   // Arm, then FetchThrough
  in.Take(16);
  assert(in.U16() == 67 && in.U32() == 5);
  in.Take(10);
  assert(in.U32() == 12 && in.U32() == 10);  // fed by the origin, at the one cache
  Writer kill;
  kill.U16(12);
  kill.U16(3);
  kill.U16(1);
  assert(host.answer({1001, 0, 2, 10}, kill.bytes).size() == 8);
  assert(host.answer({1002, 0, 4, 11}, body).size() == reply.size());  // a new life
}

static void RefusesWhatIsMalformed() {
  std::string body = Attach() + Registry() + Inbound(5);
  for (std::size_t cut = 1; cut < body.size(); ++cut)
    assert(Refused(std::string_view(body).substr(0, cut), 4));
  assert(Refused(body + "x", 4));
  Writer unknown, before, count, verdict;
  unknown.U16(12);
  unknown.U16(3);
  unknown.U16(99);
  before.U16(3);
  before.U64(1);
  count.U16(12);
  count.U16(3);
  count.U16(9);
  count.U8(1);
  count.U32(1);
  count.U32(0xffffffff);
  verdict.U16(12);
  verdict.U16(3);
  verdict.U16(4);
  verdict.U32(1);
  verdict.F64(1);
  verdict.U16(42);
  verdict.U8(0);
  assert(Refused(unknown.bytes, 2) && Refused(before.bytes, 1) && Refused(count.bytes, 2) &&
         Refused(verdict.bytes, 2));
  Writer header;
  header.F64(1);
  header.U32(4);
  header.U32(3);
  header.U32(1);
  bool impossible = false;
  try {
    ReadHeader(header.bytes);
  } catch (const WireFault&) {
    impossible = true;
  }
  assert(impossible);
}

static void NamesTheSettingAtFault() {
  struct Case {
    const char *from, *to, *named;
  };
  for (Case c : {Case{"zone=1\n", "", "zone"},
                 {"aim=500.0", "aim=soon", "classes.0.aim"},
                 {"limits.maxAttempts=8", "limits.maxAttempts=0", "limits.maxAttempts"},
                 {"idempotency=repeatable", "idempotency=often", "classes.0.idempotency"}}) {
    std::string text = kFacts;
    text.replace(text.find(c.from), std::string(c.from).size(), c.to);
    std::string said;
    try {
      settings::ReadDeploymentSettings(text);
    } catch (const settings::SettingsError& fault) {
      said = fault.what();
    }
    assert(said.find(c.named) != said.npos);
  }
  DeploymentSettings s = settings::ReadDeploymentSettings(kFacts);
  assert(s.zone == 1 && s.max_retry_after == 500 &&
         s.request_classes[0].effect == Effect::kIdempotent);
}

int main() {
  AnswersABatch();
  RefusesWhatIsMalformed();
  NamesTheSettingAtFault();
}

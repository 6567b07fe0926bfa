#include "benchlink/host.hpp"
#include "kit.hpp"
#include "sheet/sheet.hpp"

using namespace kit;
using namespace dunlinwick::benchlink;

static const std::string facts =
    "zone=1\nbalancers=2\nclasses.count=1\nclasses.0.aim=500.0\nclasses.0.giveUp=5000.0\nclasses.0."
    "idempotency=repeatable\n"
    "familyInfo.parentKind=1\nfamilyInfo.sourceKind=2\nfamilyInfo.streamKbPerS=8800.0\nlimits.maxAttempts=8\n"
    "limits.retryAfter=true\nlimits.maxRetryAfter=500.0\nnot.known=x,y\n";

static std::string attach() {
  Writer w;
  w.u16(12), w.u16(3), w.u16(2), w.u64(42), w.u32(static_cast<std::uint32_t>(facts.size()));
  return w.bytes + facts;
}

static std::string registry() {
  Writer w;
  w.u16(9), w.u8(2), w.u32(1), w.u32(2);
  for (unsigned kind : {0u, 2u}) {
    w.u32(10 + kind), w.u16(1), w.u8(kind), w.u16(0), w.u8(2), w.u32(std::bit_cast<std::uint32_t>(1.0f)),
        w.f64(0);
  }
  return w.bytes;
}

static std::string inbound(std::uint32_t id) {
  Writer w;
  w.u16(7), w.u32(id), w.u8(0), w.u32(0), w.u64(77), w.f64(2000);
  for (float v : {640.0f, 11.0f, 3.0f}) w.u32(std::bit_cast<std::uint32_t>(v));
  w.u16(0);
  return w.bytes;
}

static bool refused(std::string_view body, std::uint32_t records) {
  try {
    Host().answer({1000, static_cast<std::uint32_t>(body.size()), records, 1}, body);
  } catch (const WireFault&) {
    return true;
  }
  return false;
}

static void answersABatch() {
  Host host;
  std::string body = attach() + registry() + inbound(5), reply = host.answer({1000, 0, 4, 9}, body);
  Reader in(reply);
  assert(in.u32() == reply.size() - 8 && in.u32() == 9);
  assert(in.u16() == 74 && in.u16() == 3);  // Source
  assert(in.u16() == 70);                   // Arm, then FetchThrough
  in.take(16);
  assert(in.u16() == 67 && in.u32() == 5);
  in.take(10);
  assert(in.u32() == 12 && in.u32() == 10);  // fed by the origin, at the one cache
  Writer kill;
  kill.u16(12), kill.u16(3), kill.u16(1);
  assert(host.answer({1001, 0, 2, 10}, kill.bytes).size() == 8);
  assert(host.answer({1002, 0, 4, 11}, body).size() == reply.size());  // a new life
}

static void refusesWhatIsMalformed() {
  std::string body = attach() + registry() + inbound(5);
  for (std::size_t cut = 1; cut < body.size(); ++cut)
    assert(refused(std::string_view(body).substr(0, cut), 4));
  assert(refused(body + "x", 4));
  Writer unknown, before, count, verdict;
  unknown.u16(12), unknown.u16(3), unknown.u16(99);
  before.u16(3), before.u64(1);
  count.u16(12), count.u16(3), count.u16(9), count.u8(1), count.u32(1), count.u32(0xffffffff);
  verdict.u16(12), verdict.u16(3), verdict.u16(4), verdict.u32(1), verdict.f64(1), verdict.u16(42),
      verdict.u8(0);
  assert(refused(unknown.bytes, 2) && refused(before.bytes, 1) && refused(count.bytes, 2) &&
         refused(verdict.bytes, 2));
  Writer header;
  header.f64(1), header.u32(4), header.u32(3), header.u32(1);
  bool impossible = false;
  try {
    readHeader(header.bytes);
  } catch (const WireFault&) {
    impossible = true;
  }
  assert(impossible);
}

static void namesTheSettingAtFault() {
  struct Case {
    const char *from, *to, *named;
  };
  for (Case c : {Case{"zone=1\n", "", "zone"},
                 {"aim=500.0", "aim=soon", "classes.0.aim"},
                 {"limits.maxAttempts=8", "limits.maxAttempts=0", "limits.maxAttempts"},
                 {"idempotency=repeatable", "idempotency=often", "classes.0.idempotency"}}) {
    std::string text = facts;
    text.replace(text.find(c.from), std::string(c.from).size(), c.to);
    std::string said;
    try {
      sheet::readSheet(text);
    } catch (const sheet::SheetFault& fault) {
      said = fault.what();
    }
    assert(said.find(c.named) != said.npos);
  }
  StoreSheet s = sheet::readSheet(facts);
  assert(s.zone == 1 && s.longestRetryAfter == 500 && s.offerings[0].effect == Effect::rerunnable);
}

int main() {
  answersABatch();
  refusesWhatIsMalformed();
  namesTheSettingAtFault();
}

#include "benchlink/codec.hpp"

#include <cmath>

namespace dunlinwick::benchlink {

std::string_view Reader::take(std::size_t n) {
  if (n > rest_.size()) throw WireFault("truncated frame: a record goes past the frame's end");
  std::string_view taken = rest_.substr(0, n);
  rest_.remove_prefix(n);
  return taken;
}

std::uint64_t Reader::number(int bytes) {
  std::uint64_t v = 0;
  for (char c : take(static_cast<std::size_t>(bytes))) v = v << 8 | static_cast<std::uint8_t>(c);
  return v;
}

void Writer::number(std::uint64_t v, int n) {
  for (int shift = 8 * (n - 1); shift >= 0; shift -= 8) bytes.push_back(static_cast<char>(v >> shift & 0xff));
}

void Writer::text(std::string_view s) {
  s = s.substr(0, 65535);
  u16(static_cast<unsigned>(s.size()));
  bytes.append(s);
}

Header readHeader(std::string_view bytes) {
  Reader in(bytes);
  Header h;
  h.clock = in.f64();
  h.length = in.u32();
  h.records = in.u32();
  h.batch = in.u32();
  if (!std::isfinite(h.clock)) throw WireFault("impossible clock in a batch header");
  if (h.records > h.length / 2) throw WireFault("impossible count: more records than the frame can hold");
  return h;
}

static std::vector<float> readReport(Reader& in) {
  std::vector<float> values(in.u8());
  for (float& v : values) v = in.f32();
  return values;
}

static Ending endingOf(unsigned verdict) {
  switch (verdict) {
    case 100:
      return Ending::finished;
    case 101:
      return Ending::miss;
    case 301:
      return Ending::error;
    case 302:
      return Ending::full;
    case 303:
      return Ending::timedOut;
    case 304:
      return Ending::noConnection;
    case 305:
      return Ending::broken;
    case 306:
      return Ending::cancelled;
    case 307:
      return Ending::moot;
  }
  throw WireFault("unknown outcome " + std::to_string(verdict));
}

static ListNews readList(Reader& in) {
  ListNews news;
  unsigned scope = in.u8();
  if (scope > 3) throw WireFault("unknown scope of a list");
  news.listing = static_cast<Listing>(scope);
  in.u32();
  std::uint32_t count = in.u32();
  if (count > in.left() / 22) throw WireFault("impossible count: more list entries than the frame can hold");
  news.entries.resize(count);
  for (ListEntry& e : news.entries) {
    e.cache = in.u32();
    e.zone = in.u16();
    e.kind = in.u8();
    e.cell = in.u16();
    unsigned mode = in.u8();
    if (mode > 2) throw WireFault("unknown mode of a list entry");
    e.standing = static_cast<Standing>(mode);
    e.weight = in.f32();
    e.startedAt = in.f64();
  }
  return news;
}

Event readEvent(unsigned code, Reader& in) {
  switch (code) {
    case 3:
      return WakeUp{in.u64()};
    case 4: {
      ProbeEnded e;
      e.cache = in.u32();
      e.took = in.f64();
      e.answered = endingOf(in.u16()) == Ending::finished;
      e.report = readReport(in);
      return e;
    }
    case 5: {
      LegStarted e;
      e.pull = in.u32();
      e.cache = in.u32();
      e.leg = in.u8();
      in.f64();
      return e;
    }
    case 6: {
      LegEnded e;
      e.pull = in.u32();
      e.leg = in.u8();
      e.cache = in.u32();
      e.ending = endingOf(in.u16());
      e.took = in.f64();
      e.final = in.u8() != 0;
      unsigned remark = in.u8();
      e.remark = remark <= 10 ? static_cast<Remark>(remark) : Remark::none;
      e.waited = in.f64();
      e.report = readReport(in);
      return e;
    }
    case 7: {
      PullCame e;
      e.pull = in.u32();
      e.offering = in.u8();
      in.u32();
      e.object = in.u64();
      e.ttl = in.f64();
      e.sizeKb = in.f32();
      e.group = static_cast<int>(in.f32());
      e.part = static_cast<int>(in.f32());
      in.u16();
      return e;
    }
    case 8: {
      Purged e;
      e.object = in.u64();
      e.wholeGroup = e.object == 0;
      e.group = in.u16();
      e.ago = in.f64();
      return e;
    }
    case 9:
      return readList(in);
    case 10:
      return ClientLeft{in.u32()};
    case 11: {
      PeerSaid e;
      e.peer = in.u32();
      e.text = std::string(in.take(in.u16()));
      return e;
    }
  }
  throw WireFault("unknown event code " + std::to_string(code));
}

namespace {
struct ActionWriter {
  Writer& out;
  void operator()(const SendLeg& a) const {
    out.u16(67);
    out.u32(a.pull);
    out.u8((a.join ? 1u : 0u) | (a.heldOnly ? 2u : 0u) | (a.renew ? 8u : 0u));
    out.u8(static_cast<unsigned>(a.rank));
    out.f64(a.oldest);
    out.u32(a.source);
    out.u32(a.cache);
    out.f64(a.patience);
  }
  void operator()(const CancelLeg& a) const {
    out.u16(73);
    out.u32(a.pull);
    out.u8(static_cast<unsigned>(a.leg));
  }
  void operator()(const DeclinePull& a) const {
    out.u16(77);
    out.u32(a.pull);
    out.f64(a.retryAfter);
  }
  void operator()(const AbandonPull& a) const {
    out.u16(71);
    out.u32(a.pull);
  }
  void operator()(const WakeMe& a) const {
    out.u16(70);
    out.f64(a.at);
    out.u64(a.handle);
  }
  void operator()(const ProbeCache& a) const {
    out.u16(69);
    out.u32(a.cache);
  }
  void operator()(const FollowList&) const {
    out.u16(78);
    out.u8(1);
  }
  void operator()(const WriteLine& a) const {
    out.u16(76);
    out.text(a.text);
  }
  void operator()(const TellHealth&) const {}  // for a fleet of fronts; the simulator has no word for it
};
}  // namespace

void writeAction(const Action& action, Writer& out) { std::visit(ActionWriter{out}, action); }

void writeSource(unsigned front, Writer& out) {
  out.u16(74);
  out.u16(front);
}

void writeBailOut(std::string_view reason, Writer& out) {
  out.u16(68);
  out.text(reason);
}

void writeReplyHeader(std::uint32_t length, std::uint32_t batch, Writer& out) {
  out.u32(length);
  out.u32(batch);
}

}  // namespace dunlinwick::benchlink

// The log: its limit, whose it is, and that no bytes from a peer make a line of their own.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <fcntl.h>
#include <rapidcheck.h>
#include <unistd.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "log/log.hpp"

using namespace dunlinwick;
using namespace std::string_literals;

namespace {

struct Kept {
  double now = 1e12;
  std::vector<std::string> lines;
  log::Log log{[this] { return now; },
               [this](std::string_view line) {
                 lines.emplace_back(line);
               }};
  std::string Of(std::string_view line) {
    lines.clear();
    now += 1000;
    log.Say(line);
    REQUIRE(lines.size() == 1);
    return lines[0];
  }
};

// What a terminal or a reader of lines may take for an end, or for an order.
bool Plain(std::string_view line) {
  for (char c : line)
    if (static_cast<unsigned char>(c) < ' ' || c == 127)
      return false;
  for (std::string_view bad : {"\xe2\x80\xa8", "\xe2\x80\xa9"})  // line and paragraph separators
    if (line.find(bad) != line.npos)
      return false;
  for (std::size_t at = line.find('\xc2'); at != line.npos;
       at = line.find('\xc2', at + 1))  // C1 controls, NEL among them
    if (at + 1 < line.size() && static_cast<unsigned char>(line[at + 1]) < 0xa0)
      return false;
  return true;
}

// Undoes the escapes of bytes below 0x80 and of one byte each.
std::string Reverted(std::string_view line) {
  std::string all;
  for (std::size_t i = 0; i < line.size(); ++i) {
    if (line[i] != '\\') {
      all += line[i];
      continue;
    }
    char c = line[++i];
    if (c == 'x') {
      all += static_cast<char>(std::stoi(std::string(line.substr(i + 1, 2)), nullptr, 16));
      i += 2;
    } else
      all += c == 'n' ? '\n' : c == 'r' ? '\r' : c == 't' ? '\t' : c;
  }
  return all;
}

// Bytes as a hostile peer picks them.
rc::Gen<std::string> Hostile() {
  return rc::gen::container<std::string>(rc::gen::weightedOneOf<char>(
      {{2, rc::gen::elementOf("\n\r\t\v\f\x1b\x7f\\\"x0an\xc2\x85\x9b\xe2\x80\xa8\xa9\xff"s)},
       {1, rc::gen::arbitrary<char>()}}));
}

}  // namespace

TEST_CASE("a plain line stays as it is") {
  Kept k;
  CHECK(k.Of("cache-1: silent; its connection ends, 3 open") ==
        "cache-1: silent; its connection ends, 3 open");
  CHECK(k.Of("caf\xc3\xa9 serves") == "caf\xc3\xa9 serves");
  CHECK(k.Of("") == "");
}

TEST_CASE("what could end a line or give an order is escaped, and an escape can't be written") {
  Kept k;
  CHECK(k.Of("a\nb\r\tc") == "a\\nb\\r\\tc");
  CHECK(k.Of("\x1b[2J\x7f"s + '\0') == "\\x1b[2J\\x7f\\x00");
  CHECK(k.Of("a\\nb \"q\"") == "a\\\\nb \\\"q\\\"");
  CHECK(Plain(k.Of("\xc2\x85 \xc2\x9b \xe2\x80\xa8 \xe2\x80\xa9")));
  CHECK(k.Of("\xff\xc3") == "\\xff\\xc3");
}

TEST_CASE("no bytes make two lines, nor a line that another's bytes would make") {
  CHECK(rc::check("one record, one line", [] {
    std::string bytes = *Hostile();
    Kept k;
    log::Use use(k.log);
    log::Say("%.*s", static_cast<int>(bytes.size()), bytes.data());
    RC_ASSERT(k.lines.size() == 1u);
    RC_ASSERT(Plain(k.lines[0]));
  }));
  CHECK(rc::check("what is escaped can be told from what is not", [] {
    std::string bytes = *rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127));
    Kept k;
    k.log.Say(bytes);
    RC_ASSERT(Reverted(k.lines.at(0)) == bytes);
  }));
}

TEST_CASE("a line has a bound before it is escaped, and one after") {
  Kept k;
  CHECK(k.Of(std::string(5000, 'a')) == std::string(log::kLongest, 'a'));
  CHECK(k.Of(std::string(5000, '\n')).size() == 2 * log::kLongest);
  CHECK(k.Of(std::string(5000, '\xff')).size() == 4 * log::kLongest);
  log::Use use(k.log);
  k.lines.clear();
  log::Say("%s", std::string(5000, 'b').c_str());
  CHECK(k.lines.at(0) == std::string(log::kLongest, 'b'));
}

TEST_CASE("200 at once, then 10 a second; what is left out is told") {
  Kept k;
  for (int i = 0; i < 250; ++i)
    k.log.Say("x");
  CHECK(k.lines.size() == 200);
  k.now += 99;
  k.log.Say("y");
  CHECK(k.lines.size() == 200);
  k.now += 2;
  k.log.Say("z");
  REQUIRE(k.lines.size() == 202);
  CHECK(k.lines[200] == "51 lines left out");
  CHECK(k.lines[201] == "z");
  k.now += 1e9;
  k.lines.clear();
  for (int i = 0; i < 250; ++i)
    k.log.Say("x");
  CHECK(k.lines.size() == 200);
}

TEST_CASE("lines go to the log in use, and back to the one before it") {
  Kept one, two;
  log::Use a(one.log);
  log::Say("%d", 1);
  {
    log::Use b(two.log);
    log::Say("%s", "2");
  }
  log::Say("%d", 3);
  CHECK(one.lines == std::vector<std::string>{"1", "3"});
  CHECK(two.lines == std::vector<std::string>{"2"});
}

TEST_CASE("without one they go to standard error, each by one write") {
  int ends[2], before = ::dup(2);
  REQUIRE(::pipe2(ends, O_DIRECT) == 0);  // a pipe that keeps writes apart
  ::dup2(ends[1], 2);
  log::Say("a%sb", "\nforged");
  log::Say("%s", "second");
  ::dup2(before, 2);
  ::close(before);
  ::close(ends[1]);
  char buffer[4096];
  ssize_t got = ::read(ends[0], buffer, sizeof buffer);
  CHECK(std::string(buffer, static_cast<std::size_t>(got)) == "a\\nforgedb\n");
  got = ::read(ends[0], buffer, sizeof buffer);
  CHECK(std::string(buffer, static_cast<std::size_t>(got)) == "second\n");
  CHECK(::read(ends[0], buffer, sizeof buffer) == 0);
  ::close(ends[0]);
}

namespace {

// Standard error as a pipe that is full, until it goes.
class FullStandardError {
 public:
  FullStandardError() : before_(::dup(STDERR_FILENO)) {
    int ends[2];
    REQUIRE(::pipe2(ends, O_NONBLOCK) == 0);
    from_ = ends[0];
    const std::string page(4096, '.');
    while (::write(ends[1], page.data(), page.size()) > 0) {
    }
    ::fcntl(ends[1], F_SETFL, 0);
    ::dup2(ends[1], STDERR_FILENO);
    ::close(ends[1]);
  }
  ~FullStandardError() {
    ::dup2(before_, STDERR_FILENO);
    ::close(before_);
    ::close(from_);
  }
  /// What lies in the pipe.
  std::string Read() {
    std::string all(1 << 20, 0);
    std::size_t size = 0;
    for (ssize_t got = 0; (got = ::read(from_, all.data() + size, all.size() - size)) > 0;)
      size += static_cast<std::size_t>(got);
    all.resize(size);
    return all;
  }

 private:
  int before_ = -1;
  int from_ = -1;
};

}  // namespace

TEST_CASE("a full standard error holds up nobody, and what was left out is told") {
  // Ends the test where a write waits for a reader.
  constexpr unsigned kHangsAfterSeconds = 20;
  ::alarm(kHangsAfterSeconds);
  std::string received;
  {
    FullStandardError standard_error;
    log::Say("lost");
    log::Say("lost as well");
    standard_error.Read();
    log::Say("after");
    received = standard_error.Read();
  }
  ::alarm(0);
  CHECK(received == "2 lines left out: standard error took none\nafter\n");
}

TEST_CASE("a closed standard error is borne, and what was left out is told") {
  int before = ::dup(STDERR_FILENO);
  ::close(STDERR_FILENO);
  log::Say("lost");
  int ends[2];
  // The lowest free number: that of standard error stays free.
  int kept = ::open("/dev/null", O_RDWR);
  bool opened = ::pipe2(ends, O_NONBLOCK) == 0;
  ::dup2(ends[1], STDERR_FILENO);
  log::Say("after");
  ::dup2(before, STDERR_FILENO);
  ::close(before);
  ::close(ends[1]);
  REQUIRE(kept == STDERR_FILENO);
  REQUIRE(opened);
  char buffer[4096];
  ssize_t got = ::read(ends[0], buffer, sizeof buffer);
  ::close(ends[0]);
  REQUIRE(got > 0);
  CHECK(std::string(buffer, static_cast<std::size_t>(got)) ==
        "1 lines left out: standard error took none\nafter\n");
}

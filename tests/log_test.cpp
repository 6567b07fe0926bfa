// The log: its rate limit, which log is current, and that bytes from a peer cannot forge a line.
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

struct RecordingLog {
  double now = 1e12;
  std::vector<std::string> lines;
  log::Log log{[this] { return now; },
               [this](std::string_view line) {
                 lines.emplace_back(line);
               }};
  std::string Written(std::string_view line) {
    lines.clear();
    now += 1000;
    log.Write(line);
    REQUIRE(lines.size() == 1);
    return lines[0];
  }
};

// False if a terminal or a line reader may interpret a character as a line break or a control
// sequence.
bool IsPlain(std::string_view line) {
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

// Reverts the escapes of single bytes below 0x80.
std::string Unescape(std::string_view line) {
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

// Bytes that a hostile peer might send.
rc::Gen<std::string> HostileBytes() {
  return rc::gen::container<std::string>(rc::gen::weightedOneOf<char>(
      {{2, rc::gen::elementOf("\n\r\t\v\f\x1b\x7f\\\"x0an\xc2\x85\x9b\xe2\x80\xa8\xa9\xff"s)},
       {1, rc::gen::arbitrary<char>()}}));
}

}  // namespace

TEST_CASE("a plain line is unchanged") {
  RecordingLog k;
  CHECK(k.Written("cache-1: silent; its connection ends, 3 open") ==
        "cache-1: silent; its connection ends, 3 open");
  CHECK(k.Written("caf\xc3\xa9 serves") == "caf\xc3\xa9 serves");
  CHECK(k.Written("") == "");
}

TEST_CASE("line breaks and control characters are escaped, and an escape cannot be forged") {
  RecordingLog k;
  CHECK(k.Written("a\nb\r\tc") == "a\\nb\\r\\tc");
  CHECK(k.Written("\x1b[2J\x7f"s + '\0') == "\\x1b[2J\\x7f\\x00");
  CHECK(k.Written("a\\nb \"q\"") == "a\\\\nb \\\"q\\\"");
  CHECK(IsPlain(k.Written("\xc2\x85 \xc2\x9b \xe2\x80\xa8 \xe2\x80\xa9")));
  CHECK(k.Written("\xff\xc3") == "\\xff\\xc3");
}

TEST_CASE("no bytes produce two lines, and different bytes produce different lines") {
  CHECK(rc::check("one record, one line", [] {
    std::string bytes = *HostileBytes();
    RecordingLog k;
    log::ScopedLog use(k.log);
    log::Write("%.*s", static_cast<int>(bytes.size()), bytes.data());
    RC_ASSERT(k.lines.size() == 1u);
    RC_ASSERT(IsPlain(k.lines[0]));
  }));
  CHECK(rc::check("escaping is reversible", [] {
    std::string bytes = *rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127));
    RecordingLog k;
    k.log.Write(bytes);
    RC_ASSERT(Unescape(k.lines.at(0)) == bytes);
  }));
}

TEST_CASE("a line is bounded before and after escaping") {
  RecordingLog k;
  CHECK(k.Written(std::string(5000, 'a')) == std::string(log::kMaxLineBytes, 'a'));
  CHECK(k.Written(std::string(5000, '\n')).size() == 2 * log::kMaxLineBytes);
  CHECK(k.Written(std::string(5000, '\xff')).size() == 4 * log::kMaxLineBytes);
  log::ScopedLog use(k.log);
  k.lines.clear();
  log::Write("%s", std::string(5000, 'b').c_str());
  CHECK(k.lines.at(0) == std::string(log::kMaxLineBytes, 'b'));
}

TEST_CASE("200 lines in a burst, then 10 a second; dropped lines are reported") {
  RecordingLog k;
  for (int i = 0; i < 250; ++i)
    k.log.Write("x");
  CHECK(k.lines.size() == 200);
  k.now += 99;
  k.log.Write("y");
  CHECK(k.lines.size() == 200);
  k.now += 2;
  k.log.Write("z");
  REQUIRE(k.lines.size() == 202);
  CHECK(k.lines[200] == "51 lines left out");
  CHECK(k.lines[201] == "z");
  k.now += 1e9;
  k.lines.clear();
  for (int i = 0; i < 250; ++i)
    k.log.Write("x");
  CHECK(k.lines.size() == 200);
}

TEST_CASE("lines go to the current log, and afterwards to the previous one") {
  RecordingLog one, two;
  log::ScopedLog a(one.log);
  log::Write("%d", 1);
  {
    log::ScopedLog b(two.log);
    log::Write("%s", "2");
  }
  log::Write("%d", 3);
  CHECK(one.lines == std::vector<std::string>{"1", "3"});
  CHECK(two.lines == std::vector<std::string>{"2"});
}

TEST_CASE("without a current log lines go to standard error, each by one write") {
  int ends[2], before = ::dup(2);
  REQUIRE(::pipe2(ends, O_DIRECT) == 0);  // a pipe in packet mode, which keeps writes separate
  ::dup2(ends[1], 2);
  log::Write("a%sb", "\nforged");
  log::Write("%s", "second");
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

// Replaces standard error by a full pipe during its lifetime.
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
  /// Reads the content of the pipe.
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

TEST_CASE("a full standard error does not block, and dropped lines are reported") {
  // Aborts the test if a write blocks.
  constexpr unsigned kHangsAfterSeconds = 20;
  ::alarm(kHangsAfterSeconds);
  std::string received;
  {
    FullStandardError standard_error;
    log::Write("lost");
    log::Write("lost as well");
    standard_error.Read();
    log::Write("after");
    received = standard_error.Read();
  }
  ::alarm(0);
  CHECK(received == "2 lines left out: standard error was not writable\nafter\n");
}

TEST_CASE("a closed standard error is tolerated, and dropped lines are reported") {
  int before = ::dup(STDERR_FILENO);
  ::close(STDERR_FILENO);
  log::Write("lost");
  int ends[2];
  // Takes the lowest free descriptor, so that standard error's number stays free.
  int kept = ::open("/dev/null", O_RDWR);
  bool opened = ::pipe2(ends, O_NONBLOCK) == 0;
  ::dup2(ends[1], STDERR_FILENO);
  log::Write("after");
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
        "1 lines left out: standard error was not writable\nafter\n");
}

// Tests of LogSink: its buffer and rate are limited, and it never blocks.
#include "dandelionscale/runtime/log_sink.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>

namespace dandelionscale {
namespace {

struct Pipe {
  Pipe() { REQUIRE(::pipe(this->ends.data()) == 0); }
  ~Pipe() {
    ::close(this->ends[0]);
    ::close(this->ends[1]);
  }
  std::string ReadAll() {
    ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> bytes;
    while (true) {
      const auto size = ::read(this->ends[0], bytes.data(), bytes.size());
      if (size <= 0) return text;
      text.append(bytes.data(), static_cast<std::size_t>(size));
    }
  }
  std::array<int, 2> ends{};
};

TEST_CASE("lines are written completely and in order") {
  Pipe pipe;
  LogSink sink(pipe.ends[1], {});
  sink.Write("{\"a\":1}", false);
  sink.Write("{\"a\":2}", true);
  sink.Flush();
  CHECK(pipe.ReadAll() == "{\"a\":1}\n{\"a\":2}\n");
}

TEST_CASE(
    "a reader that stops reading causes dropped lines, never a blocked write") {
  Pipe pipe;
  LogSink sink(pipe.ends[1], {100'000, 1e9, 1e9});
  const std::string line(500, 'x');
  // The pipe holds 64 KB and the buffer 100 KB; all further lines must be
  // dropped. A blocking write would hang this test.
  for (int n = 0; n < 2000; ++n) sink.Write(line, true);
  sink.Flush();
  CHECK(sink.Dropped() > 1000);
  // The reader resumes: it receives the buffered lines, then the number of
  // dropped ones.
  std::string text;
  for (int n = 0; n < 4; ++n) {
    text += pipe.ReadAll();
    sink.Flush();
  }
  CHECK(text.find("log_dropped") != std::string::npos);
}

TEST_CASE(
    "the rate limit applies to ordinary lines but not to important ones") {
  Pipe pipe;
  LogSink sink(pipe.ends[1], {100'000, 0, 1000});
  const std::string line(99, 'x');
  for (int n = 0; n < 50; ++n) sink.Write(line, false);
  CHECK(sink.Dropped() == 40);
  sink.Write("important", true);
  sink.Flush();
  CHECK(pipe.ReadAll().find("important\n") != std::string::npos);
}

}  // namespace
}  // namespace dandelionscale

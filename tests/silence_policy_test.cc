// When a send whose engine has fallen silent may be given up.
#include "dandelionscale/core/silence_policy.h"

#include <catch2/catch.hpp>

namespace dandelionscale {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSecondOfSilence(1300);
constexpr milliseconds kLongSilence(2000);

SilentSend Stream(Duration silent_for, bool has_events, RunReport report) {
  SilentSend send;
  send.silent_for = silent_for;
  send.events_delivered = has_events;
  send.report = report;
  return send;
}

TEST_CASE("a stream is not sent again for a second of silence") {
  for (bool has_events : {false, true}) {
    CHECK_FALSE(MaySendBackup(
        Stream(kSecondOfSilence, has_events, RunReport::kUnknown)));
  }
}

TEST_CASE("a stream is sent again if its engine is silent for good") {
  for (bool has_events : {false, true}) {
    CHECK(MaySendBackup(Stream(kLongSilence, has_events, RunReport::kUnknown)));
  }
}

TEST_CASE("a stream is not sent again while its engine works on it") {
  for (bool has_events : {false, true}) {
    CHECK_FALSE(
        MaySendBackup(Stream(kLongSilence, has_events, RunReport::kListed)));
  }
}

TEST_CASE("a stream that its engine has dropped is sent again at once") {
  CHECK(MaySendBackup(Stream(kSecondOfSilence, true, RunReport::kNotListed)));
  // It may still wait in the engine's queue.
  CHECK_FALSE(
      MaySendBackup(Stream(kSecondOfSilence, false, RunReport::kNotListed)));
}

TEST_CASE("a stream that may wait, preempted, is not sent again at once") {
  CHECK_FALSE(
      MaySendBackup(Stream(kSecondOfSilence, true, RunReport::kMayWait)));
  CHECK(MaySendBackup(Stream(kLongSilence, true, RunReport::kMayWait)));
}

TEST_CASE("nothing is sent again when no other engine could answer in time") {
  for (bool may_overlap : {false, true}) {
    SilentSend send = Stream(kLongSilence, false, RunReport::kUnknown);
    send.may_overlap = may_overlap;
    send.answer_time = milliseconds(600);
    send.time_left = milliseconds(300);
    CHECK_FALSE(MaySendBackup(send));
    send.time_left = milliseconds(700);
    CHECK(MaySendBackup(send));
  }
}

TEST_CASE("a stream that its engine has dropped has nothing to lose") {
  SilentSend send = Stream(kSecondOfSilence, true, RunReport::kNotListed);
  send.answer_time = milliseconds(600);
  send.time_left = milliseconds(300);
  CHECK(MaySendBackup(send));
}

TEST_CASE("a request that may run twice at a time is sent again at once") {
  SilentSend send;
  send.may_overlap = true;
  CHECK(MaySendBackup(send));
}

}  // namespace
}  // namespace dandelionscale

#pragma once

#include "Sardineford/Common/Time.h"

#include <cstddef>
#include <cstdint>

namespace sardineford::standins {

struct CrashSimulationOptions {
  size_t Processes = 6;
  size_t Engines = 6;
  Milliseconds Length{20'000};
  /// Rate of requests whose prompts crash engines, with the share of them that
  /// comes from one caller, whose sound requests share that caller's part.
  double CrashingPerSecond = 2;
  double OneCallerRatio = 0.5;
  double SoundPerSecond = 60;
  /// Callers of sound requests; each has a prompt part of its own.
  size_t Callers = 40;
  /// Crashes of single engines for other reasons.
  double OtherCrashesPerSecond = 0;
  /// All answers are complete before their engine can crash.
  bool ShortAnswers = false;
  /// The crashing requests are repeats of one, which ends its server before the
  /// server answers. Sound requests are short and share nothing, but this share
  /// of them are repeats of a few.
  bool AreRepeats = false;
  double SoundRepeatRatio = 0;
  /// Further engines that each crash takes along.
  size_t TakenAlong = 0;
  /// Share of the answers that end without a verdict, as if their connection
  /// had been cut.
  double CutAnswerRatio = 0;
  /// Time from a crash until the engine is back.
  Milliseconds RestartTime{4'000};
  /// Share of the processes that is cut off from the others, each for some
  /// seconds, and of those that restart, at any moment.
  double CutOffRatio = 0;
  double RestartRatio = 0;
  double LossRatio = 0.03;
  Milliseconds StabilityWindow{3'000};
  uint64_t Seed = 1;
};

struct CrashOutcome {
  unsigned Crashes = 0;
  /// Requests with the crashing part that reached an engine later than a
  /// stability window after the fifth crash under it, or repeats after the
  /// third, from processes that were not disturbed since.
  unsigned LateArrivals = 0;
  /// Sound requests from two stability windows after the fifth or last crash
  /// under the part, and those that began at their first attempt.
  unsigned LateSound = 0;
  unsigned LateSoundBegun = 0;
  /// Sound requests, and those that were rejected because of a part while an
  /// engine was running.
  unsigned Sound = 0;
  unsigned SoundRejected = 0;
  /// Bytes of findings that a process sent, with the headers of IP and UDP: the
  /// mean, and the most in one second.
  double MeanBytesPerSecond = 0;
  double MostBytesPerSecond = 0;

  double lateBegunRatio() const {
    return LateSound == 0 ? 1 : double(LateSoundBegun) / LateSound;
  }
  double rejectedRatio() const {
    return Sound == 0 ? 0 : double(SoundRejected) / Sound;
  }
};

/// Plays requests of which some crash each engine that begins to answer them,
/// at many processes that decide with the findings of the daemon, without
/// network or clock.
CrashOutcome simulateCrashes(const CrashSimulationOptions &o);

} // namespace sardineford::standins

#pragma once

#include "Peers/OriginHolders.h"
#include "Sardineford/Common/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace sardineford::standins {

struct OriginSimulationOptions {
  size_t Processes = 6;
  size_t FailureDomains = 5;
  /// Share of all processes that dies at one moment, besides the one that began
  /// a stream.
  double DyingRatio = 0;
  /// One failure domain dies instead.
  bool DomainDies = false;
  /// Share of the processes that joins the fleet at about that moment.
  double JoiningRatio = 0.02;
  double LossRatio = 0.03;
  /// Age of what each process knows of the fleet.
  Milliseconds ViewAge{500};
  size_t HoldersAtOnce = peers::HoldersAtOnce;
  size_t HoldersPerStream = peers::HoldersPerStream;
  unsigned Streams = 5'000;
  uint64_t Seed = 1;
};

struct Traffic {
  double Datagrams = 0;
  /// With the headers of IP and UDP.
  double Bytes = 0;
};

struct OriginOutcome {
  unsigned Streams = 0;
  /// Streams whose version was found, and those where it was wrong.
  unsigned Found = 0;
  unsigned Wrong = 0;
  /// All datagrams of records, and of questions and answers.
  Traffic Records;
  Traffic Questions;

  double foundRatio() const { return double(Found) / Streams; }
};

/// Plays streams that are taken up after the process that began them has died,
/// each with its own moment of deaths, with the holders and tables of the
/// daemon and without network or clock. All streams run for longer than until
/// their records are repeated, unless their process dies before.
OriginOutcome simulateOrigins(const OriginSimulationOptions &o);

} // namespace sardineford::standins

#include "Sardineford/Routing/Speeds.h"

namespace sardineford::routing {

EngineSpeeds speedsOf(const config::EnginePoolSpec &spec) {
  constexpr double MsPerSecond = 1'000;
  EngineSpeeds speeds;
  speeds.PrefillTokensPerSecond = spec.PrefillTokensPerSecond;
  speeds.PrefillShareInDecode = spec.PrefillShareInDecode;
  speeds.DecodeStep = Seconds(spec.DecodeStepMs / MsPerSecond);
  speeds.DecodeStepPerSequence =
      Seconds(spec.DecodeStepPerSequenceMs / MsPerSecond);
  speeds.MaxBatch = static_cast<uint64_t>(spec.MaxBatch);
  speeds.MaxBatchPrefill = static_cast<uint64_t>(spec.MaxBatchPrefill);
  return speeds;
}

} // namespace sardineford::routing

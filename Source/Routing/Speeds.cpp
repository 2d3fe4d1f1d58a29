#include "Sardineford/Routing/Speeds.h"

namespace sardineford::routing {

EngineSpeeds speedsOf(const config::EnginePoolSpec &spec) {
  constexpr double MsPerSecond = 1'000;
  EngineSpeeds s;
  s.PrefillTokensPerSecond = spec.PrefillTokensPerSecond;
  s.PrefillShareInDecode = spec.PrefillShareInDecode;
  s.DecodeStep = Seconds(spec.DecodeStepMs / MsPerSecond);
  s.DecodeStepPerSequence = Seconds(spec.DecodeStepPerSequenceMs / MsPerSecond);
  s.MaxBatch = static_cast<uint64_t>(spec.MaxBatch);
  s.MaxBatchPrefill = static_cast<uint64_t>(spec.MaxBatchPrefill);
  return s;
}

} // namespace sardineford::routing

#include "StandIns/Engine/Text.h"

#include "Sardineford/Common/Random.h"

#include <array>

namespace sardineford::standins {

namespace {

constexpr size_t BytesPerToken = 4;

constexpr std::array<std::string_view, 16> Words = {
    "the",   "deed", "nome",   "اسم",      "ticket", "sauna",  "clerk", "سجل",
    "hours", "di",   "hammam", "registry", "notary", "ospite", "قيد",   "of"};

} // namespace

uint64_t countTokens(std::string_view prompt) {
  return prompt.size() / BytesPerToken + 1;
}

uint64_t hashPrompt(std::string_view prompt) { return hash64(prompt); }

uint64_t outputLength(std::string_view prompt, uint64_t maxTokens) {
  uint64_t half = maxTokens / 2;
  return maxTokens - hash64(prompt, 1) % (half + 1);
}

std::string tokenAt(std::string_view model, uint64_t promptHash,
                    uint64_t index) {
  uint64_t h = hash64(model, promptHash + index * 0x9e3779b97f4a7c15ull);
  std::string token(Words[h % Words.size()]);
  token += ' ';
  return token;
}

std::string expectedCompletion(std::string_view model, std::string_view prompt,
                               uint64_t maxTokens) {
  std::string out;
  uint64_t hash = hashPrompt(prompt);
  uint64_t n = outputLength(prompt, maxTokens);
  for (uint64_t i = 0; i < n; ++i)
    out += tokenAt(model, hash, i);
  return out;
}

} // namespace sardineford::standins

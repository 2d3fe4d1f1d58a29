#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sardineford::standins {

/// Returns the number of tokens of a prompt.
uint64_t countTokens(std::string_view prompt);

/// Returns the number of tokens that the engine generates for a prompt.
uint64_t outputLength(std::string_view prompt, uint64_t maxTokens);

/// Returns the token at an index of the completion of a prompt, with a trailing
/// space. The function is pure, so that a test can compare a complete response
/// byte by byte.
std::string tokenAt(std::string_view model, uint64_t promptHash,
                    uint64_t index);

/// Returns the prompt hash that tokenAt() expects.
uint64_t hashPrompt(std::string_view prompt);

/// Returns the complete output of the engine for a prompt.
std::string expectedCompletion(std::string_view model, std::string_view prompt,
                               uint64_t maxTokens);

} // namespace sardineford::standins

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sardineford::standins {

/// Tokens that a prompt counts for.
uint64_t countTokens(std::string_view prompt);

/// Number of tokens that the engine generates for a prompt.
uint64_t outputLength(std::string_view prompt, uint64_t maxTokens);

/// The token at an index of the answer to a prompt, with a trailing space.
/// A pure function, so that a whole answer can be checked byte by byte.
std::string tokenAt(std::string_view model, uint64_t promptHash,
                    uint64_t index);

/// Hash of a prompt, as tokenAt takes it.
uint64_t hashPrompt(std::string_view prompt);

/// The whole answer to a prompt.
std::string expectedCompletion(std::string_view model, std::string_view prompt,
                           uint64_t maxTokens);

} // namespace sardineford::standins

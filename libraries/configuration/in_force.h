#pragma once

#include "configuration/document.h"
#include "configuration/document_store.h"

#include <functional>

namespace ivypier::configuration {

/// The head of the platform's table with the document it names; version 0 with an empty document when none
/// was ever accepted.
struct in_force
{
    document_head head;
    document content;

    auto operator<=>(const in_force &) const = default;
};

/// Reads what is in force from the platform. `known` spares reading the body again when its version still is.
void readInForce(document_store &store, const in_force &known, std::function<void(outcome<in_force>)> done);

/// The operator's name in a head's writer token, which is `<name>.<random>`.
std::string writerName(const document_head &head);

/// A writer token for a submission by `name`.
std::string makeWriterToken(const std::string &name);

} // namespace ivypier::configuration

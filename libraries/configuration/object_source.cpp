#include "configuration/object_source.h"

#include "base/secret.h"

namespace ivypier::configuration {

void fetchDocument(const std::string &root, std::shared_ptr<object_map> available, object_source &source,
                   bool indexesOnly, std::function<void(outcome<void>)> done)
{
    const std::vector<std::string> missing = missingObjects(root, *available, indexesOnly);
    if (missing.empty()) {
        done(success());
        return;
    }
    source.fetch(
        missing,
        [root, available, &source, indexesOnly, missing,
         done = std::move(done)](const outcome<object_map> &fetched) {
            if (!fetched) {
                done(fetched.error());
                return;
            }
            bool progress = false;
            for (const std::string &each : missing) {
                const auto found = fetched.value().find(each);
                if (found == fetched.value().end())
                    continue;
                if (sha256Hex(found->second) != each) {
                    done(error{error_code::internal, "the object's content does not have its name's digest"});
                    return;
                }
                available->insert(*found);
                progress = true;
            }
            if (!progress) {
                done(error{error_code::not_found, "no object " + missing.front()});
                return;
            }
            fetchDocument(root, available, source, indexesOnly, done);
        });
}

} // namespace ivypier::configuration

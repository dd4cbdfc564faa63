#include "upstream/leaving_detector.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include <optional>

using namespace ivypier;
using namespace ivypier::upstream;
using trompeloeil::_;

namespace {

class mock_engine final : public model_engine
{
public:
    MAKE_MOCK3(start,
               std::shared_ptr<generation>(const endpoint &, const generation_request &,
                                           std::shared_ptr<generation_observer>),
               override);
    MAKE_MOCK5(resume,
               std::shared_ptr<generation>(const endpoint &, const std::string &, const std::string &,
                                           std::uint64_t, std::shared_ptr<generation_observer>),
               override);
    MAKE_MOCK3(exportCache,
               void(const endpoint &, const std::string &, std::function<void(outcome<std::string>)>),
               override);
    MAKE_MOCK2(readLoad, void(const endpoint &, std::function<void(outcome<engine_load>)>), override);
    MAKE_MOCK3(readCacheEvents,
               void(const endpoint &, std::uint64_t, std::function<void(outcome<std::vector<cache_event>>)>),
               override);
    MAKE_MOCK3(order, void(const endpoint &, const engine_order &, std::function<void(outcome<void>)>),
               override);
};

class mock_observer final : public generation_observer
{
public:
    MAKE_MOCK1(onStarted, void(const std::string &), override);
    MAKE_MOCK2(onToken, void(std::uint64_t, const std::string &), override);
    MAKE_MOCK1(onFinished, void(const token_usage &), override);
    MAKE_MOCK1(onFailed, void(const error &), override);
};

const endpoint address{"10.0.0.1", 9100};

engine_load loadReport(bool leaving)
{
    engine_load load;
    load.leaving = leaving;
    return load;
}

} // namespace

TEST_CASE("an engine that reports that it is leaving is detected, and the report is forwarded")
{
    mock_engine engine;
    std::vector<endpoint> leaving;
    leaving_detector detector(engine, [&](const endpoint &each) { leaving.push_back(each); });
    const bool leaves = GENERATE(true, false);
    REQUIRE_CALL(engine, readLoad(address, _)).SIDE_EFFECT(_2(loadReport(leaves)));
    std::optional<outcome<engine_load>> load;
    detector.readLoad(address, [&](const outcome<engine_load> &read) { load = read; });
    REQUIRE(load);
    CHECK(load->value().leaving == leaves);
    CHECK(leaving.size() == (leaves ? 1 : 0));
}

TEST_CASE("a refusal triggers a load report; the refusal alone does not mark an engine as leaving")
{
    mock_engine engine;
    std::vector<endpoint> leaving;
    leaving_detector detector(engine, [&](const endpoint &each) { leaving.push_back(each); });
    const bool leaves = GENERATE(true, false);
    auto observer = std::make_shared<mock_observer>();
    std::shared_ptr<generation_observer> wrapped;
    REQUIRE_CALL(engine, start(address, _, _)).LR_SIDE_EFFECT(wrapped = _3).RETURN(nullptr);
    detector.start(address, {}, observer);
    REQUIRE_CALL(engine, readLoad(address, _)).SIDE_EFFECT(_2(loadReport(leaves)));
    REQUIRE_CALL(*observer, onFailed(_));
    wrapped->onFailed({error_code::refused, "503"});
    CHECK(leaving.size() == (leaves ? 1 : 0));
}

TEST_CASE("other failures trigger no load report, and events are forwarded")
{
    mock_engine engine;
    leaving_detector detector(engine, [](const endpoint &) { FAIL("no engine is leaving"); });
    auto observer = std::make_shared<mock_observer>();
    std::shared_ptr<generation_observer> wrapped;
    REQUIRE_CALL(engine, resume(address, "s", "a", 3U, _)).LR_SIDE_EFFECT(wrapped = _5).RETURN(nullptr);
    detector.resume(address, "s", "a", 3, observer);
    REQUIRE_CALL(*observer, onStarted("s"));
    REQUIRE_CALL(*observer, onToken(3U, "x"));
    REQUIRE_CALL(*observer, onFailed(_));
    wrapped->onStarted("s");
    wrapped->onToken(3, "x");
    wrapped->onFailed({error_code::interrupted, "broke"});
}

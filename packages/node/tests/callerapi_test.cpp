/*
    Invalid request bodies are refused with a typed error that names field and remedy. Parsers that
    get randomly mutated input, from a fixed seed, neither crash nor lose an error.

    [SECTION] Invalid bodies
    [SECTION] Digests and answers
    [SECTION] Mutations
*/
#include "../src/callerapi.h"

#include <gtest/gtest.h>
#include <random>

#include <foxwing/base/codec.h>
#include <foxwing/control/validation.h>
#include <foxwing/node/message.h>
#include <foxwing/settings/settings.h>

namespace foxwing::node {
namespace {

// [SECTION] Invalid bodies

struct InvalidBody
{
    const char *name;
    std::string body;
    bool request;
    const char *expected;
};

class RefusedBody : public testing::TestWithParam<InvalidBody>
{ };

TEST_P(RefusedBody, ErrorNamesFieldAndRemedy)
{
    Error reason;
    EXPECT_FALSE(parseSubmission(GetParam().body, GetParam().request, &reason));
    EXPECT_EQ(reason.kind, ErrorKind::BadRequest);
    EXPECT_EQ(reason.outcome, Outcome::NotRun);
    EXPECT_NE(reason.message.find(GetParam().expected), std::string::npos) << reason.message;
}

std::string bodyWith(const std::string &field)
{
    return R"({"submission":"x","service":"svc","tasks":["a"],)" + field + "}";
}

INSTANTIATE_TEST_SUITE_P(
        Table, RefusedBody,
        testing::Values(
                InvalidBody { "Empty", "", false, "can't be read" },
                InvalidBody { "Broken", "{\"service\":", false, "can't be read" },
                InvalidBody { "Trailing", R"({"service":"svc"} x)", false, "can't be read" },
                InvalidBody { "DuplicateKey", R"({"service":"a","service":"b"})", false,
                              "can't be read" },
                InvalidBody { "Deep", std::string(5000, '['), false, "can't be read" },
                InvalidBody { "NotAnObject", "[1]", false, "must be a JSON object" },
                InvalidBody { "NoSubmission", R"({"service":"svc","tasks":["a"]})", false,
                              "\"submission\" is required" },
                InvalidBody { "NoService", R"({"submission":"x","tasks":["a"]})", false,
                              "\"service\" is required" },
                InvalidBody { "ServiceIsNumber", R"({"submission":"x","service":7,"tasks":["a"]})",
                              false, "\"service\" must be a string" },
                InvalidBody { "NoTasks", R"({"submission":"x","service":"svc"})", false,
                              "\"tasks\"" },
                InvalidBody { "EmptyTasks", R"({"submission":"x","service":"svc","tasks":[]})",
                              false, "at least one" },
                InvalidBody { "TasksIsString", R"({"submission":"x","service":"svc","tasks":"a"})",
                              false, "\"tasks\" must be a list" },
                InvalidBody { "UnknownField", bodyWith(R"("dedline":5)"), false,
                              "\"dedline\" is not known" },
                InvalidBody { "DeadlineText", bodyWith(R"("deadlineMs":"5s")"), false,
                              "\"deadlineMs\"" },
                InvalidBody { "DeadlineZero", bodyWith(R"("deadlineMs":0)"), false, "from 1 to" },
                InvalidBody { "DeadlineNegative", bodyWith(R"("deadlineMs":-5)"), false,
                              "from 1 to" },
                InvalidBody { "DeadlineHuge", bodyWith(R"("deadlineMs":99999999999999999999)"),
                              false, "\"deadlineMs\"" },
                InvalidBody { "DeclaredFraction", bodyWith(R"("declaredMs":1.5)"), false,
                              "\"declaredMs\"" },
                InvalidBody { "RepeatableText", bodyWith(R"("repeatable":"yes")"), false,
                              "true or false" },
                InvalidBody { "LongClass", bodyWith("\"class\":\"" + std::string(65, 'c') + "\""),
                              false, "at most 64" },
                InvalidBody { "RequestWithTasks",
                              R"({"service":"svc","tasks":["a"],"payload":"a"})", true,
                              "\"tasks\" is not known" },
                InvalidBody { "RequestWithoutPayload", R"({"service":"svc"})", true,
                              "\"payload\" is required" }),
        [](const testing::TestParamInfo<InvalidBody> &given) { return given.param.name; });

// [SECTION] Digests and answers

TEST(CallerApi, DigestDistinguishesWork)
{
    Error reason;
    const auto digest = [&](const std::string &body) {
        const auto read = parseSubmission(body, false, &reason);
        return read ? read->digest : reason.message;
    };
    const std::string base = digest(R"({"submission":"x","service":"svc","tasks":["a","b"]})");
    EXPECT_EQ(base, digest(R"({"tasks":["a","b"],"service":"svc","submission":"x"})"));
    EXPECT_EQ(base,
              digest(R"({"submission":"x","service":"svc","tasks":["a","b"],"deadlineMs":7})"))
            << "the deadline is not part of the work";
    EXPECT_NE(base, digest(R"({"submission":"x","service":"svc","tasks":["ab"]})"));
    EXPECT_NE(base, digest(R"({"submission":"x","service":"svc","tasks":["b","a"]})"));
    EXPECT_NE(base, digest(R"({"submission":"x","service":"svd","tasks":["a","b"]})"));
}

TEST(CallerApi, FailedAnswerHasNoPartialResults)
{
    dispatch::Answer answer;
    answer.outcome = Outcome::Failed;
    answer.results = { "a part" };
    answer.error = { ErrorKind::TaskFailed, "task 1 failed", Outcome::Failed, Milliseconds(0) };
    const std::string body = answerBody("id", answer);
    EXPECT_EQ(body.find("a part"), std::string::npos)
            << "a failed answer must not contain partial results";
    EXPECT_EQ(answerStatus(answer), 502);
}

// [SECTION] Mutations

std::string mutate(std::string text, std::mt19937_64 &random)
{
    const std::size_t changes = 1 + random() % 4;
    for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t position = random() % text.size();
        const std::uint64_t kind = random() % 4;
        if (kind == 0)
            text[position] = static_cast<char>(random());
        else if (kind == 1)
            text.erase(position, 1 + random() % 8);
        else if (kind == 2)
            text.insert(position, text.substr(random() % text.size(), random() % 16));
        else
            text.insert(position, "99999999999999999999");
    }
    return text;
}

TEST(Mutations, ParsersNeitherCrashNorLoseErrors)
{
    std::mt19937_64 random(4);
    const std::string job = bodyWith(
            R"("deadlineMs":5000,"declaredMs":80,"class":"c","repeatable":true)");
    const std::string message = writeJson(encodeMessage(Message(agent::Start {})));
    const std::string spec = R"({"mostTasks":5,"mostPayloadBytes":100,"longestTimeMs":7})";
    const std::string settings = "[node]\nid = \"a\"\nroles = [\"agent\"]\n[agent]\nslots = 8\n"
                                 "lease_span = \"2s\"\n";
    std::size_t refused = 0;
    for (int i = 0; i < 20000; ++i) {
        Error reason;
        refused += parseSubmission(mutate(job, random), false, &reason) ? 0 : 1;
        const auto json = parseJson(mutate(message, random), &reason);
        if (json)
            refused += decodeMessage<Message>(*json, &reason) ? 0 : 1;
        refused += control::parseServiceSpec(mutate(spec, random), &reason) ? 0 : 1;
        Error settingsReason;
        if (!settings::parseSettings(mutate(settings, random), "fuzz.toml", &settingsReason)) {
            EXPECT_FALSE(settingsReason.message.empty());
        }
    }
    EXPECT_GT(refused, 20000U);
}

} // namespace
} // namespace foxwing::node

// Settings files that are written or replaced while a process reads them.
#include "direct_fleet.h"

#include <sys/stat.h>

namespace fleet {
namespace {

constexpr auto writingTime = std::chrono::milliseconds(200); // of a file that is seen incomplete

class SettingsFile : public Direct
{
protected:
    /// Settings of the entry, from a process that has ended.
    std::string entrySettings()
    {
        startEntry();
        daemons_.erase("entry-1");
        std::ifstream in(fleet_.settingsFile("entry-1"));
        return {std::istreambuf_iterator<char>(in), {}};
    }
    /// The settings with another value of a field that is applied without a restart.
    static std::string withStore(const std::string &settings, unsigned port)
    {
        return std::regex_replace(settings, std::regex(R"("store":"http://127.0.0.1:[0-9]+")"),
                                  R"("store":"http://127.0.0.1:)" + std::to_string(port) + "\"");
    }
    bool hasLogged(const std::string &event) const
    {
        return readLog("entry-1").find("\"" + event + "\"") != std::string::npos;
    }
};

// Guards against a process that ends because its settings file was being written when it started.
TEST_F(SettingsFile, IncompleteFileAtTheStartIsReadAgain)
{
    const auto settings = entrySettings();
    for (const std::size_t length : {std::size_t{0}, settings.size() / 2}) {
        startDaemon("entry-1", settings.substr(0, length));
        std::this_thread::sleep_for(writingTime);
        std::ofstream(fleet_.settingsFile("entry-1")) << settings;
        ASSERT_TRUE(eventually([&] { return readinessStatus() == 200 || !daemons_.at("entry-1")->isRunning(); }));
        ASSERT_TRUE(daemons_.at("entry-1")->isRunning()) << length << " bytes";
    }
}

// Guards against settings that stay without effect because the file was replaced during the start.
TEST_F(SettingsFile, FileThatIsReplacedDuringTheStartIsReloaded)
{
    const auto settings = entrySettings();
    const auto path = fleet_.settingsFile("entry-1");
    ASSERT_EQ(::unlink(path.c_str()), 0);
    ASSERT_EQ(::mkfifo(path.c_str(), 0600), 0);
    daemons_["entry-1"] = std::make_unique<Process>(
        std::vector<std::string>{buildFolder() + "/bin/anvilscaled", "--settings", path}, fleet_.logFile("entry-1"));
    int writer = -1;
    ASSERT_TRUE(eventually([&] {
        writer = ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        return writer >= 0; // the process reads
    }));
    const auto replacement = path + ".new";
    std::ofstream(replacement) << withStore(settings, fleet_.startStandin("site-store", {}, "other-store"));
    ASSERT_EQ(::rename(replacement.c_str(), path.c_str()), 0);
    ASSERT_EQ(::write(writer, settings.data(), settings.size()), static_cast<ssize_t>(settings.size()));
    ::close(writer);
    EXPECT_TRUE(eventually([&] { return hasLogged("settings_reloaded"); })) << readLog("entry-1");
}

// Guards against a process that loses its settings, or never reads the new ones, when its file is reloaded too early.
TEST_F(SettingsFile, IncompleteFileAtAReloadKeepsTheSettings)
{
    start();
    std::ifstream in(fleet_.settingsFile("entry-1"));
    const std::string settings{std::istreambuf_iterator<char>(in), {}};
    // Each part has been read before the next one is written: settings that come back unread are not read anew.
    for (const auto &[length, kind] : {std::pair(std::size_t{0}, "unreadable"), {settings.size() / 2, "bad_json"}}) {
        std::ofstream(fleet_.settingsFile("entry-1")) << settings.substr(0, length);
        daemons_.at("entry-1")->signal(SIGHUP);
        const std::string rejection = kind;
        ASSERT_TRUE(eventually([&] { return hasLogged("reload_rejected") && hasLogged(rejection); })) << rejection;
        ASSERT_EQ(call("/i/", "during-" + std::to_string(length)).status, 200);
    }
    std::ofstream(fleet_.settingsFile("entry-1")) << settings;
    EXPECT_TRUE(eventually([&] { return hasLogged("settings_reloaded"); })) << readLog("entry-1");
    ASSERT_EQ(call("/i/", "after").status, 200);
}

} // namespace
} // namespace fleet

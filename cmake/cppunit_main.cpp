#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

/// Runs all registered CppUnit tests; the exit code is 0 when all of them pass.
int main()
{
    CppUnit::TestResult events;
    CppUnit::TestResultCollector results;
    CppUnit::BriefTestProgressListener progress;
    events.addListener(&results);
    events.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(events);

    CppUnit::CompilerOutputter(&results, std::cerr).write();
    return results.wasSuccessful() ? 0 : 1;
}

Feature: Operators see who is late for what, who is refused and who returns

  Scenario: What callers got in the last minute is shown by workspace and by route
    Given a router that counts what callers got
    When at 1 s "a" on "draft" gets: in_time, late_first_event, late_pause, refused
    And at 30 s "b" on "hint" gets: in_time, unfinished
    Then at 40 s by "workspace" "a" has asked 4, in_time 1, late_first_event 1, late_pause 1, refused 1
    And at 40 s by "route" "hint" has asked 2, in_time 1, unfinished 1
    And at 65 s by "workspace" "a" has nothing
    And at 65 s by "route" "hint" has asked 2, in_time 1, unfinished 1

  Scenario: A caller who sends a refused request again is counted as returned, once
    Given a router that counts what callers got
    When at 1 s "a" on "draft" gets: refused
    And at 2 s the same caller sends it again, with another id, and gets: in_time
    And at 3 s the same caller sends it again, with another id, and gets: in_time
    Then at 4 s by "route" "draft" has asked 3, refused 1, returned 1, in_time 2

  Scenario: Lookups without a body are told apart by their ids
    Given a router that counts what callers got
    When at 1 s "a" on "lookup" without a body gets: refused, in_time
    Then at 2 s by "route" "lookup" has asked 2, refused 1, in_time 1

  # Guards against: a flood of workspaces that fills the router's memory, or the metrics with labels.
  Scenario: However many names there are, few are kept and none is lost
    Given a router that counts what callers got
    When 3000 workspaces ask for one request each, and one for 50
    Then the status shows 20 workspaces and the others as one, 3050 requests in all
    And the busiest workspace is shown with its 50 requests
    And the metrics have at most 51 workspaces, 3050 requests in all

  Scenario: Counting can be turned off
    Given a router that does not count what callers got
    When at 1 s "a" on "draft" gets: in_time, refused
    Then at 2 s by "workspace" "a" has nothing

  Scenario Outline: The last log line of a late answer tells whether it began late or paused
    Given the log line of a whole answer
    When its first event came after <first_ms> ms and its longest pause was <pause_ms> ms
    Then the losses count it by route as "<kind>" with the reason "<reason>"
    And its explanation tells "<facts>"

    Examples:
      | first_ms | pause_ms | kind       | reason               | facts                                    |
      | 300      | 100      | none       |                      |                                          |
      | 700      | 100      | late       | waited for an engine | 700 ms, 500 ms of them waiting; 600 ms   |
      | 700      | 450      | late       | waited for an engine | 700 ms, 500 ms of them waiting; 600 ms   |
      | 300      | 450      | late pause | the engine paused    | between events 450 ms; 400 ms allowed    |

  Scenario: An owner tells how its engine does
    Given an engine that has begun 40 answers, and of which 3 pauses were reported lately
    Then its status has a rate, a delay, its forecast error, what runs and waits, and 3 pauses
    And a minute later its status has 0 pauses

  Scenario: The tool sums up what routers report, also figures that it does not know
    Given the status of 2 routers, of which one reports a figure more
    When the tool prints them
    Then it prints "asked 7", "booked 2" and a row for each engine

  @nodes.2
  Scenario: The metrics tell what callers got, by workspace and by route
    When "planners" sends "POST" "/summary/a" with "900,30" tokens to router 1
    And "planners" sends "GET" "/setpoint/a" with "" tokens to router 1
    Then the metrics of router 1 count for "workspace" "planners": asked 2, in_time 2
    And the metrics of router 1 count for "route" "summary": asked 1, in_time 1

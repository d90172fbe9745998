Feature: Experiments compare variants of the product on the same days

  Scenario: Plays are paired by day and seed, and judged by their spread
    Given an experiment of the variants "now, old" on the days "quiet-1, scale-1" with 2 seeds
    When the bench plays it and "old" is worth 0.05 less, give or take 0.01
    Then "old" is judged "worse" over 4 pairs, and the page names each play's journal entry
    When the bench plays it and "old" is worth 0.01 less, give or take 0.04
    Then "old" is judged "noise" over 4 pairs, and the page names each play's journal entry

  Scenario: A play without a figure is listed, but not compared
    Given an experiment of the variants "now, old" on the days "quiet-1" with 1 seeds
    When the bench gives no figure for "old"
    Then "old" is judged "noise" over 0 pairs, and the page names each play's journal entry

  Scenario: An invalid experiment file is rejected with all findings
    When an experiment file names the option "fetches" and the days "[]"
    Then its findings name "fetches, days"

  Scenario: A router rejects invalid options, all at once
    When a router starts with the options "{"window_gain": "wide", "fetches": true}"
    Then it ends with status 2 and names "window_gain, fetches"

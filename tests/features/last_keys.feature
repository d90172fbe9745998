@nodes.1
Feature: Keys that are taken away open no route
  # Guards against: a configuration whose workspaces had no key left was taken for one without workspaces, so
  # that requests with any key, or with none, were run.
  Scenario: The last key is taken away
    Given a configuration in which the workspaces have no keys
    Then requests with the key taken away, with another one and with none are answered 401 and not run
    And an open route still needs no key

  Scenario: A configuration without workspaces needs no key
    Given a configuration without workspaces
    Then a request without a key is served
